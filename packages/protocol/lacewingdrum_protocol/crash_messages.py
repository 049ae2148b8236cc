"""Messages in which daemons tell each other of crashes of runners.

Ages are in milliseconds before the message was sent. Subjects are in the text
form of ``crashes.parse_subject``.
"""

import msgspec

from lacewingdrum_state import bounds


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The crash of one incarnation of a runner.

    ``lost`` holds the subjects of each request that the runner may have been
    running, and ``reporters`` the daemons that lost them.
    """

    runner_id: str
    born_ms: int
    age_ms: bounds.AgeMs
    lost: tuple[tuple[str, ...], ...]
    reporters: tuple[str, ...]


class SoundReport(msgspec.Struct, frozen=True, array_like=True):
    """A subject that a runner served well."""

    subject: str
    age_ms: bounds.AgeMs


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """The last of ``count`` trials of a subject that is refused."""

    subject: str
    age_ms: bounds.AgeMs
    count: bounds.Trials


class CrashNews(msgspec.Struct, frozen=True, array_like=True, tag="crn"):
    """Evidence about what may crash runners."""

    crashes: tuple[CrashReport, ...] = ()
    sound: tuple[SoundReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()
