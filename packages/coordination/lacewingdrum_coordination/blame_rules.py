"""Says how many crashes are enough to blame what was lost in them."""

import dataclasses

from lacewingdrum_state import crashes

# Crashes within this time are taken for one moment, as runners that lose power
# together all lose what many requests have in common.
MOMENT_S = 0.1
# A request is not sent on after crashes at so many moments.
REPEAT_MOMENTS = 2
# Within one moment a request is not sent on after so many crashes if they are
# this share of all crashes in that time. More of them mean that runners have
# lost power together.
REPEAT_OWN_CRASHES = 2
REPEAT_OWN_CRASHES_MAX = 4
REPEAT_OWN_SHARE = 1 / 2
# A whole answer speaks for its request for this time, as runners can crash
# faster one after the other than a popular request is answered.
WHOLE_ANSWER_VALID_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashThreshold:
    """So many crashes at so many moments are enough."""

    crashes: int
    moments: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlameRule:
    """When a subject is blamed.

    One of the thresholds must be reached, and the subject must be lost in
    ``explained_share_min`` of all moments with crashes, from its first crash
    to its last.
    """

    thresholds: tuple[CrashThreshold, ...]
    explained_share_min: float

    @property
    def crashes_min(self) -> int:
        """With fewer crashes than this no threshold is reached."""
        return min(threshold.crashes for threshold in self.thresholds)

    def is_met(self, times_s: list[float], meanwhile_s: list[float]) -> bool:
        """Return whether crashes are enough.

        Args:
            times_s: the ascending times of the crashes under the subject.
            meanwhile_s: the ascending times of all crashes from the first to
                the last of these.
        """
        moments = moment_count(times_s)
        if not any(
            len(times_s) >= threshold.crashes and moments >= threshold.moments
            for threshold in self.thresholds
        ):
            return False
        return moments >= self.explained_share_min * moment_count(meanwhile_s)


PART_RULE = BlameRule((CrashThreshold(3, 3), CrashThreshold(5, 2)), 1 / 3)
# Few requests are lost in three crashes and never answered in between, so that
# crashes of other runners do not speak for one that is.
REQUEST_RULE = BlameRule((CrashThreshold(3, 2),), 0.0)


def rule_of(subject: crashes.Subject) -> BlameRule:
    """Return the rule by which a subject is blamed."""
    match subject:
        case crashes.SharedPart():
            return PART_RULE
        case crashes.WholeRequest():
            return REQUEST_RULE


def cleared_until_s(sound: crashes.SoundSubject) -> float:
    """Return until when crashes do not speak against a subject."""
    match sound.subject:
        case crashes.SharedPart():
            return sound.at_s
        case crashes.WholeRequest():
            return sound.at_s + WHOLE_ANSWER_VALID_S


def may_repeat(
    subject: crashes.Subject, times_s: list[float], meanwhile_s: list[float]
) -> bool:
    """Return whether a request may go to a further runner after crashes.

    Args:
        subject: one of its subjects.
        times_s: the ascending times of the crashes under the subject.
        meanwhile_s: the ascending times of all crashes from the first to the
            last of these.
    """
    if moment_count(times_s) >= REPEAT_MOMENTS:
        return False
    match subject:
        case crashes.SharedPart():
            return True
        case crashes.WholeRequest():
            if not REPEAT_OWN_CRASHES <= len(times_s) <= REPEAT_OWN_CRASHES_MAX:
                return True
            return len(times_s) < REPEAT_OWN_SHARE * len(meanwhile_s)


def moment_count(times_s: list[float]) -> int:
    """Return the number of different moments among ascending times."""
    count, start_s = 0, float("-inf")
    for time_s in times_s:
        if time_s - start_s >= MOMENT_S:
            count, start_s = count + 1, time_s
    return count
