"""The states that facts can be in, each a closed set."""

import enum


class MemberState(enum.Enum):
    """Whether a VM or a runner takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ServiceType(enum.Enum):
    """What kind of back end a service has."""

    MODEL = "model"
    APPLICATION = "application"


class AttemptState(enum.Enum):
    """How far one attempt of a request has come.

    ``REFUSED_BY_RUNNER`` is only for refusals that the protocol defines as
    not started. ``UNKNOWN`` is an attempt whose outcome cannot be learned.
    """

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED_BY_RUNNER = "refused_by_runner"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Ran(enum.Enum):
    """What a caller is told about whether a failed request ran."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


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
