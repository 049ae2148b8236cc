"""Enumerations that several packages share."""

import enum


class MemberState(enum.Enum):
    """Whether a VM or a runner accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ServiceType(enum.Enum):
    """Whether a service is a model or an application."""

    MODEL = "model"
    APPLICATION = "application"


class AttemptState(enum.Enum):
    """The progress or outcome of one attempt of a request.

    ``REFUSED_BY_RUNNER`` is only for refusals that the protocol defines as
    not started. ``UNKNOWN`` means that the outcome cannot be determined.
    """

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED_BY_RUNNER = "refused_by_runner"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Ran(enum.Enum):
    """Whether a failed request ran, as reported to the caller.

    A word of a later build is read as ``MAYBE``, which promises nothing.
    """

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"

    @classmethod
    def _missing_(cls, value: object) -> "Ran":
        return cls.MAYBE


class OrderState(enum.Enum):
    """The state of a non-idempotent order's row."""

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    ANSWERED = "answered"


class LengthClass(enum.Enum):
    """The class of a prompt by its length in tokens."""

    SHORT = "short"
    MID = "mid"
    LONG = "long"


class Resource(enum.Enum):
    """The resource that a customer's limit counts."""

    TOKENS = "tokens"
    REQUESTS = "requests"
