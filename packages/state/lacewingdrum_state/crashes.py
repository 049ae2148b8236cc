"""Crashes of runners and what is known of the requests that they lost."""

import dataclasses

from lacewingdrum_state import ids

# Parts are hexadecimal, so that none begins with this mark.
_WHOLE_REQUEST_MARK = "="


@dataclasses.dataclass(frozen=True, slots=True)
class SharedPart:
    """A part of prompts that requests may have in common."""

    part: ids.PromptPart

    def __str__(self) -> str:
        return self.part


@dataclasses.dataclass(frozen=True, slots=True)
class WholeRequest:
    """All that the copies of a request have in common."""

    fingerprint: ids.RequestFingerprint

    def __str__(self) -> str:
        return f"{_WHOLE_REQUEST_MARK}{self.fingerprint}"


# What runners may crash on.
Subject = SharedPart | WholeRequest
# The subjects of one request.
Subjects = tuple[Subject, ...]


def parse_subject(text: str) -> Subject:
    """Return the subject that ``str`` turned into this text."""
    if text.startswith(_WHOLE_REQUEST_MARK):
        fingerprint = text.removeprefix(_WHOLE_REQUEST_MARK)
        return WholeRequest(ids.RequestFingerprint(fingerprint))
    return SharedPart(ids.PromptPart(text))


def sort_key(subjects: Subjects) -> tuple[str, ...]:
    """Return a key that puts requests in the same order at all daemons."""
    return tuple(str(subject) for subject in subjects)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCrash:
    """The crash of one incarnation of a runner.

    ``lost`` holds the subjects of each request that the runner may have been
    running when it crashed, and ``reporters`` the daemons that lost them.
    """

    runner_id: ids.RunnerId
    born_ms: int
    at_s: float
    lost: frozenset[Subjects]
    reporters: frozenset[ids.VmId]


@dataclasses.dataclass(frozen=True, slots=True)
class SoundSubject:
    """A subject that a runner served well at ``at_s``."""

    subject: Subject
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The last of ``count`` trials of a subject that is refused."""

    subject: Subject
    at_s: float
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence that daemons exchange."""

    crashes: tuple[RunnerCrash, ...] = ()
    sound: tuple[SoundSubject, ...] = ()
    trials: tuple[Trial, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.sound or self.trials)

    def plus(self, other: "Evidence") -> "Evidence":
        """Return this evidence and the other."""
        return Evidence(
            self.crashes + other.crashes,
            self.sound + other.sound,
            self.trials + other.trials,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """A subject that is refused because runners crashed on it."""

    subject: Subject
    crashes: tuple[RunnerCrash, ...]
    trial_due_s: float
