"""Finds what crashes runners: a part of prompts, or a request as a whole.

When a runner crashes, all requests that it may have been running look alike.
What tells their subjects apart is what happens elsewhere: an answer under a
subject clears it of the crashes before. A subject is blamed if enough runners
crashed on it since, at different moments.

Subjects that were lost together look alike too. A request is refused only if
nothing that it does not have explains the same crashes.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from lacewingdrum_coordination import blame_rules
from lacewingdrum_state import crashes, ids

FIRST_TRIAL_S = 60.0
TRIAL_INTERVAL_MAX_S = 1_800.0
TRIAL_DOUBLINGS_MAX = 10
EVIDENCE_KEPT_S = 3_600.0
CRASHES_MAX = 128
SNAPSHOT_CRASHES_MAX = 32
LOST_SUBJECTS_MAX = 128

_CrashKey = tuple[ids.RunnerId, int]


class CrashEvidence:
    """Crashes, sound subjects and trials, merged from all daemons."""

    def __init__(self) -> None:
        self._crashes: dict[_CrashKey, crashes.RunnerCrash] = {}
        self._keys_by_subject: dict[crashes.Subject, set[_CrashKey]] = {}
        self._sound_s: dict[crashes.Subject, float] = {}
        self._trials: dict[crashes.Subject, crashes.Trial] = {}
        self._digest: int | None = 0

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is known; only then subjects matter."""
        return bool(self._crashes)

    @property
    def digest(self) -> int:
        """A number that is the same for the same evidence; 0 without any."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def snapshot(self) -> crashes.Evidence:
        """Return the evidence for a daemon that has none.

        It is bounded: crashes under subjects that are blamed go before others,
        and new ones before old ones.
        """
        return crashes.Evidence(
            tuple(self._by_importance()[-SNAPSHOT_CRASHES_MAX:]),
            tuple(crashes.SoundSubject(*item) for item in self._sound_s.items()),
            tuple(self._trials.values()),
        )

    def merge(self, found: crashes.Evidence, now_s: float) -> crashes.Evidence:
        """Add evidence of this daemon or of another one.

        Args:
            found: the evidence.
            now_s: the current time; older evidence is dropped.

        Returns:
            What was not known before.
        """
        new_crashes = [item for item in found.crashes if self._add_crash(item, now_s)]
        new_sound = [item for item in found.sound if self._add_sound(item)]
        new_trials = [item for item in found.trials if self._add_trial(item)]
        self.drop_expired(now_s)
        news = crashes.Evidence(tuple(new_crashes), tuple(new_sound), tuple(new_trials))
        if news:
            self._digest = None
        return news

    def drop_expired(self, now_s: float) -> None:
        """Drop old crashes, and the least important ones of too many."""
        kept = list(self._crashes.values())
        if len(kept) > CRASHES_MAX:
            kept = self._by_importance()[-CRASHES_MAX:]
        kept = [item for item in kept if now_s - item.at_s <= EVIDENCE_KEPT_S]
        if len(kept) == len(self._crashes):
            return
        self._crashes = {(item.runner_id, item.born_ms): item for item in kept}
        self._index()
        for by_subject in (self._sound_s, self._trials):
            for subject in by_subject.keys() - self._keys_by_subject.keys():
                del by_subject[subject]
        self._digest = None

    def suspected(self, subjects: Iterable[crashes.Subject]) -> list[crashes.Subject]:
        """Return the subjects of crashes that were not cleared since."""
        if not self._keys_by_subject:
            return []
        return [subject for subject in subjects if self._unsound_keys(subject)]

    def may_repeat(self, subjects: crashes.Subjects) -> bool:
        """Return whether a lost request may go to a further runner."""
        for subject in subjects:
            keys = self._unsound_keys(subject)
            times_s, meanwhile_s = self._times_s(keys)
            if blame_rules.may_repeat(subject, times_s, meanwhile_s):
                continue
            if not self._has_other_cause(keys, subjects):
                return False
        return True

    def find_blame(
        self,
        subjects: crashes.Subjects,
        exempt: frozenset[crashes.Subject] = frozenset(),
    ) -> crashes.Blame | None:
        """Return why a request is to be refused, or None.

        Args:
            subjects: what it has in common with others.
            exempt: subjects that are not blamed.
        """
        for subject in subjects:
            keys = self._unsound_keys(subject)
            if subject in exempt or not self._is_blamed(subject, keys):
                continue
            if self._has_other_cause(keys, subjects):
                continue
            under = sorted((self._crashes[key] for key in keys), key=_time_s)
            due_s = self._trial_due_s(subject, under)
            return crashes.Blame(subject, tuple(under), due_s)
        return None

    def start_trial(self, subject: crashes.Subject, now_s: float) -> crashes.Trial:
        """Record that one request with a blamed subject is let through now."""
        previous = self._trials.get(subject)
        trial = crashes.Trial(subject, now_s, previous.count + 1 if previous else 1)
        self._trials[subject] = trial
        self._digest = None
        return trial

    def _add_crash(self, crash: crashes.RunnerCrash, now_s: float) -> bool:
        if now_s - crash.at_s > EVIDENCE_KEPT_S:
            return False
        key = (crash.runner_id, crash.born_ms)
        known = self._crashes.get(key, crash)
        lost = _bounded(known.lost | crash.lost)
        merged = dataclasses.replace(
            known,
            at_s=min(known.at_s, crash.at_s),
            lost=lost,
            reporters=known.reporters | crash.reporters,
        )
        is_new = key not in self._crashes or merged.lost != known.lost
        self._crashes[key] = merged
        if known.lost - merged.lost:
            self._index()
        self._index_crash(key, merged)
        return is_new

    def _add_sound(self, sound: crashes.SoundSubject) -> bool:
        """Clear a subject, if that is new; one without crashes is not kept."""
        keys = self._unsound_keys(sound.subject)
        cleared_s = blame_rules.cleared_until_s(sound)
        if not any(self._crashes[key].at_s < cleared_s for key in keys):
            return False
        self._sound_s[sound.subject] = sound.at_s
        self._trials.pop(sound.subject, None)
        return True

    def _add_trial(self, trial: crashes.Trial) -> bool:
        known = self._trials.get(trial.subject)
        if not self._unsound_keys(trial.subject):
            return False
        if known is not None and known.count >= trial.count:
            return False
        self._trials[trial.subject] = trial
        return True

    def _unsound_keys(self, subject: crashes.Subject) -> set[_CrashKey]:
        """Return the crashes under a subject since it was last served well."""
        keys = self._keys_by_subject.get(subject, set())
        sound_s = self._sound_s.get(subject)
        if sound_s is None:
            return keys
        sound = crashes.SoundSubject(subject, sound_s)
        cleared_s = blame_rules.cleared_until_s(sound)
        return {key for key in keys if self._crashes[key].at_s >= cleared_s}

    def _is_blamed(self, subject: crashes.Subject, keys: set[_CrashKey]) -> bool:
        rule = blame_rules.rule_of(subject)
        if len(keys) < rule.crashes_min:
            return False
        return rule.is_met(*self._times_s(keys))

    def _times_s(self, keys: set[_CrashKey]) -> tuple[list[float], list[float]]:
        """Return when crashes were, and when any were from first to last."""
        times_s = sorted(self._crashes[key].at_s for key in keys)
        if not times_s:
            return [], []
        meanwhile_s = sorted(
            crash.at_s
            for crash in self._crashes.values()
            if times_s[0] <= crash.at_s <= times_s[-1]
        )
        return times_s, meanwhile_s

    def _has_other_cause(
        self, keys: set[_CrashKey], subjects: crashes.Subjects
    ) -> bool:
        """Return whether a subject that is not given explains the crashes."""
        lost = next(iter(keys))
        others = {
            other
            for request in self._crashes[lost].lost
            for other in request
            if other not in subjects
        }
        return any(keys <= self._unsound_keys(other) for other in others)

    def _trial_due_s(
        self, subject: crashes.Subject, under: list[crashes.RunnerCrash]
    ) -> float:
        trial = self._trials.get(subject)
        last_s, count = under[-1].at_s, 0
        if trial is not None:
            last_s, count = max(last_s, trial.at_s), trial.count
        doublings = min(count, TRIAL_DOUBLINGS_MAX)
        return last_s + min(FIRST_TRIAL_S * 2**doublings, TRIAL_INTERVAL_MAX_S)

    def _by_importance(self) -> list[crashes.RunnerCrash]:
        """Return the crashes: blamed ones last, new ones after old ones."""
        blamed = {
            key
            for subject in self._keys_by_subject
            if self._is_blamed(subject, keys := self._unsound_keys(subject))
            for key in keys
        }
        in_order = sorted(
            self._crashes.items(), key=lambda item: (item[0] in blamed, item[1].at_s)
        )
        return [crash for _, crash in in_order]

    def _index(self) -> None:
        self._keys_by_subject = {}
        for key, crash in self._crashes.items():
            self._index_crash(key, crash)

    def _index_crash(self, key: _CrashKey, crash: crashes.RunnerCrash) -> None:
        for request in crash.lost:
            for subject in request:
                self._keys_by_subject.setdefault(subject, set()).add(key)

    def _compute_digest(self) -> int:
        lines = [
            f"{key}{sorted(map(crashes.sort_key, crash.lost))}"
            for key, crash in self._crashes.items()
        ]
        lines += [f"{item} {len(self._unsound_keys(item))}" for item in self._sound_s]
        lines += [f"{trial.subject} {trial.count}" for trial in self._trials.values()]
        return (
            xxhash.xxh3_64_intdigest("\n".join(sorted(lines)).encode()) if lines else 0
        )


def _bounded(lost: frozenset[crashes.Subjects]) -> frozenset[crashes.Subjects]:
    """Return the first requests in order, which are the same everywhere."""
    kept, subject_count = [], 0
    for request in sorted(lost, key=crashes.sort_key):
        subject_count += len(request)
        if subject_count > LOST_SUBJECTS_MAX:
            break
        kept.append(request)
    return frozenset(kept)


def _time_s(crash: crashes.RunnerCrash) -> float:
    return crash.at_s
