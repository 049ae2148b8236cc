"""Finds the parts of prompts that crash engines.

When an engine crashes, all prompts that it may have begun to answer look
alike. What tells their parts apart is what happens elsewhere: an answer that
begins well under a part clears it of the crashes before. A part is blamed if
enough engines crashed under it since, at different moments, and if it was
among the lost prompts in a good share of all crashes in that time.

Parts that were lost together look alike too. A request is refused only if no
part which it does not have explains the same crashes.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from lacewingdrum_state import crashes, ids

# A part is blamed after so many crashes at so many moments, by either pair.
BLAME_RULES = ((3, 3), (5, 2))
# Crashes within this time are taken for one moment, as engines that lose power
# together all lose the parts that many requests have.
MOMENT_S = 0.1
# The part must be lost in this share of all moments with crashes, from its
# first crash to its last.
EXPLAINED_SHARE_MIN = 1 / 3
# A request is not sent on after crashes at so many moments under its parts.
REPEAT_MOMENTS = 2
FIRST_TRIAL_S = 60.0
TRIAL_INTERVAL_MAX_S = 1_800.0
TRIAL_DOUBLINGS_MAX = 10
EVIDENCE_KEPT_S = 3_600.0
CRASHES_MAX = 128
SNAPSHOT_CRASHES_MAX = 32
LOST_PARTS_MAX = 128

_CrashKey = tuple[ids.RunnerId, int]


class CrashEvidence:
    """Crashes, sound parts and trials, merged from all daemons."""

    def __init__(self) -> None:
        self._crashes: dict[_CrashKey, crashes.EngineCrash] = {}
        self._keys_by_part: dict[ids.PromptPart, set[_CrashKey]] = {}
        self._sound_s: dict[ids.PromptPart, float] = {}
        self._trials: dict[ids.PromptPart, crashes.PartTrial] = {}
        self._digest: int | None = 0

    @property
    def digest(self) -> int:
        """A number that is the same for the same evidence; 0 without any."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def snapshot(self) -> crashes.Evidence:
        """Return the evidence for a daemon that has none.

        It is bounded: crashes under parts that are blamed go before others,
        and new ones before old ones.
        """
        return crashes.Evidence(
            tuple(self._by_importance()[-SNAPSHOT_CRASHES_MAX:]),
            tuple(crashes.SoundPart(*item) for item in self._sound_s.items()),
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
        for by_part in (self._sound_s, self._trials):
            for part in by_part.keys() - self._keys_by_part.keys():
                del by_part[part]
        self._digest = None

    def suspected(self, parts: Iterable[ids.PromptPart]) -> list[ids.PromptPart]:
        """Return the parts that lost an engine and were not cleared since."""
        if not self._keys_by_part:
            return []
        return [part for part in parts if self._unsound_keys(part)]

    def may_repeat(self, parts: crashes.Prompt) -> bool:
        """Return whether a lost request may go to a further engine."""
        for part in parts:
            keys = self._unsound_keys(part)
            times_s = sorted(self._crashes[key].at_s for key in keys)
            is_likely_cause = _moment_count(times_s) >= REPEAT_MOMENTS
            if is_likely_cause and not self._has_other_cause(keys, parts):
                return False
        return True

    def find_blame(
        self, parts: crashes.Prompt, exempt: frozenset[ids.PromptPart] = frozenset()
    ) -> crashes.Blame | None:
        """Return why a request is to be refused, or None.

        Args:
            parts: the shared parts of its prompt.
            exempt: parts that are not blamed.
        """
        for part in parts:
            keys = self._unsound_keys(part)
            if part in exempt or not self._is_blamed(keys):
                continue
            if self._has_other_cause(keys, parts):
                continue
            under = sorted((self._crashes[key] for key in keys), key=_time_s)
            return crashes.Blame(part, tuple(under), self._trial_due_s(part, under))
        return None

    def start_trial(self, part: ids.PromptPart, now_s: float) -> crashes.PartTrial:
        """Record that one request with a blamed part is let through now."""
        previous = self._trials.get(part)
        trial = crashes.PartTrial(part, now_s, previous.count + 1 if previous else 1)
        self._trials[part] = trial
        self._digest = None
        return trial

    def _add_crash(self, crash: crashes.EngineCrash, now_s: float) -> bool:
        if now_s - crash.at_s > EVIDENCE_KEPT_S:
            return False
        key = (crash.runner_id, crash.born_ms)
        known = self._crashes.get(key, crash)
        lost = _bounded(known.lost_prompts | crash.lost_prompts)
        merged = dataclasses.replace(
            known,
            at_s=min(known.at_s, crash.at_s),
            lost_prompts=lost,
            reporters=known.reporters | crash.reporters,
        )
        is_new = key not in self._crashes or merged.lost_prompts != known.lost_prompts
        self._crashes[key] = merged
        if known.lost_prompts - merged.lost_prompts:
            self._index()
        self._index_crash(key, merged)
        return is_new

    def _add_sound(self, sound: crashes.SoundPart) -> bool:
        """Clear a part, if that is new; parts without crashes are not kept."""
        keys = self._unsound_keys(sound.part)
        if not any(self._crashes[key].at_s < sound.at_s for key in keys):
            return False
        self._sound_s[sound.part] = sound.at_s
        self._trials.pop(sound.part, None)
        return True

    def _add_trial(self, trial: crashes.PartTrial) -> bool:
        known = self._trials.get(trial.part)
        if not self._unsound_keys(trial.part):
            return False
        if known is not None and known.count >= trial.count:
            return False
        self._trials[trial.part] = trial
        return True

    def _unsound_keys(self, part: ids.PromptPart) -> set[_CrashKey]:
        """Return the crashes under a part since an answer began under it."""
        keys = self._keys_by_part.get(part, set())
        sound_s = self._sound_s.get(part)
        if sound_s is None:
            return keys
        return {key for key in keys if self._crashes[key].at_s >= sound_s}

    def _is_blamed(self, keys: set[_CrashKey]) -> bool:
        if len(keys) < min(crash_count for crash_count, _ in BLAME_RULES):
            return False
        times_s = sorted(self._crashes[key].at_s for key in keys)
        moments = _moment_count(times_s)
        if not any(
            len(times_s) >= crash_count and moments >= moment_count
            for crash_count, moment_count in BLAME_RULES
        ):
            return False
        meanwhile_s = sorted(
            crash.at_s
            for crash in self._crashes.values()
            if times_s[0] <= crash.at_s <= times_s[-1]
        )
        return moments >= EXPLAINED_SHARE_MIN * _moment_count(meanwhile_s)

    def _has_other_cause(self, keys: set[_CrashKey], parts: crashes.Prompt) -> bool:
        """Return whether a part not in ``parts`` explains the crashes."""
        lost = next(iter(keys))
        others = {
            other
            for prompt in self._crashes[lost].lost_prompts
            for other in prompt
            if other not in parts
        }
        return any(keys <= self._unsound_keys(other) for other in others)

    def _trial_due_s(
        self, part: ids.PromptPart, under: list[crashes.EngineCrash]
    ) -> float:
        trial = self._trials.get(part)
        last_s, count = under[-1].at_s, 0
        if trial is not None:
            last_s, count = max(last_s, trial.at_s), trial.count
        doublings = min(count, TRIAL_DOUBLINGS_MAX)
        return last_s + min(FIRST_TRIAL_S * 2**doublings, TRIAL_INTERVAL_MAX_S)

    def _by_importance(self) -> list[crashes.EngineCrash]:
        """Return all crashes, those under blamed parts last, then new ones."""
        blamed = {
            key
            for part in self._keys_by_part
            if self._is_blamed(keys := self._unsound_keys(part))
            for key in keys
        }
        in_order = sorted(
            self._crashes.items(), key=lambda item: (item[0] in blamed, item[1].at_s)
        )
        return [crash for _, crash in in_order]

    def _index(self) -> None:
        self._keys_by_part = {}
        for key, crash in self._crashes.items():
            self._index_crash(key, crash)

    def _index_crash(self, key: _CrashKey, crash: crashes.EngineCrash) -> None:
        for prompt in crash.lost_prompts:
            for part in prompt:
                self._keys_by_part.setdefault(part, set()).add(key)

    def _compute_digest(self) -> int:
        lines = [
            f"{key}{sorted(crash.lost_prompts)}" for key, crash in self._crashes.items()
        ]
        lines += [f"{part} {len(self._unsound_keys(part))}" for part in self._sound_s]
        lines += [f"{trial.part} {trial.count}" for trial in self._trials.values()]
        return (
            xxhash.xxh3_64_intdigest("\n".join(sorted(lines)).encode()) if lines else 0
        )


def _bounded(prompts: frozenset[crashes.Prompt]) -> frozenset[crashes.Prompt]:
    """Return the first prompts in order, so that all daemons keep the same."""
    kept, part_count = [], 0
    for prompt in sorted(prompts):
        part_count += len(prompt)
        if part_count > LOST_PARTS_MAX:
            break
        kept.append(prompt)
    return frozenset(kept)


def _time_s(crash: crashes.EngineCrash) -> float:
    return crash.at_s


def _moment_count(times_s: list[float]) -> int:
    """Return the number of different moments among ascending times."""
    count, start_s = 0, float("-inf")
    for time_s in times_s:
        if time_s - start_s >= MOMENT_S:
            count, start_s = count + 1, time_s
    return count
