"""Tests of which parts of prompts are blamed for crashes of engines."""

import random

from lacewingdrum_coordination import blame_rules, crash_evidence
from lacewingdrum_state import crashes, ids


def subjects(*names):
    return tuple(map(crashes.parse_subject, names))


def crash(number, at_s, *prompts, reporter="d1"):
    lost = frozenset(subjects(*item) for item in prompts)
    return crashes.RunnerCrash(
        ids.RunnerId(f"e{number}"), 1, at_s, lost, frozenset((ids.VmId(reporter),))
    )


def sound(part, at_s):
    return crashes.Evidence(
        sound=(crashes.SoundSubject(crashes.parse_subject(part), at_s),)
    )


def evidence_of(*found):
    evidence = crash_evidence.CrashEvidence()
    evidence.merge(crashes.Evidence(found), 10.0)
    return evidence


def repeated_crashes(count=5, prompts=(("a", "bad"),)):
    return [crash(number, number * 0.2, *prompts) for number in range(count)]


def test_part_that_alone_is_in_all_crashes_is_blamed():
    lost = [
        crash(number, number * 0.2, (f"f{number % 2}", "bad"), ("a",))
        for number in range(4)
    ]
    evidence = evidence_of(*lost)
    evidence.merge(sound("a", 0.9), 10.0)
    blame = evidence.find_blame(subjects("f0", "bad"))
    assert str(blame.subject) == "bad" and len(blame.crashes) == 4
    assert evidence.find_blame(subjects("f0", "x")) is None
    assert evidence.find_blame(subjects("a")) is None


def test_part_that_was_always_lost_with_another_one_is_not_blamed_without_it():
    evidence = evidence_of(*repeated_crashes())
    assert evidence.find_blame(subjects("a", "bad"))
    assert evidence.find_blame(subjects("a", "good")) is None
    # A crash under the one without the other tells them apart.
    assert evidence.find_blame(subjects("b", "bad")) is None
    evidence.merge(crashes.Evidence((crash(9, 2.0, ("b", "bad")),)), 10.0)
    assert evidence.find_blame(subjects("c", "bad"))


def test_answer_that_begins_clears_a_part_of_the_crashes_before():
    evidence = evidence_of(*repeated_crashes())
    evidence.merge(sound("bad", 3.0), 10.0)
    assert evidence.find_blame(subjects("bad")) is None
    later = [crash(10 + number, 4.0 + number, ("bad",)) for number in range(3)]
    evidence.merge(crashes.Evidence(tuple(later)), 10.0)
    assert evidence.find_blame(subjects("bad")).crashes == tuple(later)


def test_answer_before_the_crashes_does_not_clear_a_part():
    evidence = evidence_of(*repeated_crashes())
    assert not evidence.merge(sound("bad", -1.0), 10.0)
    assert evidence.find_blame(subjects("a", "bad"))


def test_engines_that_lose_power_together_blame_no_part():
    lost = [crash(number, number * 0.001, ("hot",)) for number in range(40)]
    assert evidence_of(*lost).find_blame(subjects("hot")) is None


def test_part_in_few_of_many_crashes_is_not_blamed():
    lost = [crash(number, number * 0.2, (f"p{number}",)) for number in range(40)]
    lost += [crash(50 + number, number * 2.0, ("hot",)) for number in range(4)]
    assert evidence_of(*lost).find_blame(subjects("hot")) is None


def test_crash_of_one_engine_blames_no_part():
    for count in (1, 2):
        evidence = evidence_of(*repeated_crashes(count))
        assert evidence.find_blame(subjects("a", "bad")) is None


def test_part_that_nearly_all_requests_have_is_not_blamed():
    evidence = evidence_of(*repeated_crashes(prompts=(("a",),)))
    assert evidence.find_blame(subjects("a"))
    assert evidence.find_blame(subjects("a"), frozenset(subjects("a"))) is None


def test_request_is_not_repeated_after_a_second_engine_crashed_under_its_parts():
    assert evidence_of(*repeated_crashes(1)).may_repeat(subjects("a", "bad"))
    evidence = evidence_of(*repeated_crashes(2))
    assert not evidence.may_repeat(subjects("a", "bad"))
    assert evidence.may_repeat(subjects("b"))


def test_trials_become_rarer_and_a_sound_one_ends_the_blame():
    evidence = evidence_of(*repeated_crashes())
    due_s = evidence.find_blame(subjects("a", "bad")).trial_due_s
    assert due_s == 0.8 + crash_evidence.FIRST_TRIAL_S
    evidence.start_trial(*subjects("a"), due_s)
    blame = evidence.find_blame(subjects("a", "bad"))
    assert blame.trial_due_s == due_s + 2 * crash_evidence.FIRST_TRIAL_S
    for part in ("a", "bad"):
        evidence.merge(sound(part, due_s + 1), due_s + 1)
    assert evidence.find_blame(subjects("a", "bad")) is None


def test_evidence_expires_and_is_bounded():
    evidence = evidence_of(*repeated_crashes())
    kept_s = crash_evidence.EVIDENCE_KEPT_S
    evidence.drop_expired(kept_s + 0.9)
    assert evidence.digest == 0 and not evidence.snapshot()
    many = [crash(number, number * 0.1, (f"{number}",)) for number in range(5_000)]
    evidence = evidence_of(*many)
    kept_from = 5_000 - crash_evidence.CRASHES_MAX
    kept = subjects(*(f"{number}" for number in range(kept_from, 5_000)))
    every = subjects(*(f"{number}" for number in range(5_000)))
    assert evidence.suspected(every) == list(kept)


def test_daemon_that_joins_gets_what_others_blame_before_newer_crashes():
    later = [crash(50 + number, 2.0 + number, (f"x{number}",)) for number in range(90)]
    evidence = evidence_of(*repeated_crashes(), *later)
    joined = evidence_of(*evidence.snapshot().crashes)
    assert len(joined.snapshot().crashes) == crash_evidence.SNAPSHOT_CRASHES_MAX
    assert joined.find_blame(subjects("a", "bad"))


def test_daemons_that_learn_the_same_in_any_order_decide_alike():
    for seed in range(20):
        rng = random.Random(seed)
        found = [
            crashes.Evidence((item,))
            for reporter in ("d1", "d2")
            for item in (
                crash(number, number * 0.2, (reporter,), ("bad",), reporter=reporter)
                for number in range(6)
            )
        ]
        found += [sound("d1", 3.0), sound("d2", 3.0)]
        one, other = crash_evidence.CrashEvidence(), crash_evidence.CrashEvidence()
        for evidence in (one, other):
            rng.shuffle(found)
            # What clears a part counts once its crashes are known.
            for item in found * 2:
                evidence.merge(item, 10.0)
        assert one.digest == other.digest
        assert one.find_blame(subjects("bad")) and other.find_blame(subjects("bad"))
        assert not one.find_blame(subjects("d1")) and not other.find_blame(
            subjects("d2")
        )


def test_engines_that_lose_power_together_do_not_hide_a_part_that_crashes_others():
    lost = repeated_crashes(prompts=(("bad",),))
    lost += [crash(50 + number, 0.5, ("x",)) for number in range(30)]
    assert evidence_of(*lost).find_blame(subjects("bad"))


def test_crashes_of_many_engines_do_not_push_out_what_is_blamed():
    later = [crash(50 + number, 5.0, ("x",)) for number in range(300)]
    evidence = evidence_of(*repeated_crashes(), *later)
    assert evidence.find_blame(subjects("a", "bad"))
    assert len(evidence.snapshot().crashes) == crash_evidence.SNAPSHOT_CRASHES_MAX


def test_parts_of_one_crash_are_bounded_alike_in_any_order():
    prompts = [(f"{number:04x}", "a") for number in range(500)]
    digests = set()
    for seed in range(5):
        random.Random(seed).shuffle(prompts)
        evidence = evidence_of(*(crash(1, 0.0, prompt) for prompt in prompts))
        (kept,) = evidence.snapshot().crashes
        assert len(kept.lost) == crash_evidence.LOST_SUBJECTS_MAX / 2
        digests.add(evidence.digest)
    assert len(digests) == 1


def test_request_lost_with_many_engines_at_one_moment_may_be_repeated():
    lost = [crash(number, number * 0.001, ("hot",)) for number in range(10)]
    assert evidence_of(*lost).may_repeat(subjects("hot"))


def test_whole_request_is_blamed_without_the_parts_of_its_prompt():
    lost = [crash(number, number * 0.06, ("=bad", "a")) for number in range(3)]
    evidence = evidence_of(*lost)
    assert str(evidence.find_blame(subjects("=bad", "a")).subject) == "=bad"
    assert evidence.find_blame(subjects("=good", "a")) is None


def test_request_that_many_crashes_of_others_surround_is_blamed():
    lost = [crash(number, number * 2.0, ("=bad",)) for number in range(3)]
    lost += [crash(50 + number, number * 0.2, (f"={number}",)) for number in range(20)]
    assert evidence_of(*lost).find_blame(subjects("=bad"))


def test_popular_request_is_not_blamed_for_crashes_between_its_answers():
    lost = [crash(number, float(number), ("=hot",)) for number in range(6)]
    evidence = crash_evidence.CrashEvidence()
    for item in lost:
        evidence.merge(crashes.Evidence((item,)), 10.0)
        assert evidence.find_blame(subjects("=hot")) is None
        evidence.merge(sound("=hot", item.at_s + 0.05), 10.0)
    power_loss = [crash(20 + number, 8.0, ("=hot",)) for number in range(20)]
    evidence.merge(crashes.Evidence(tuple(power_loss)), 10.0)
    assert evidence.find_blame(subjects("=hot")) is None
    assert evidence.may_repeat(subjects("=hot"))


def test_popular_request_is_not_blamed_for_crashes_shortly_after_an_answer():
    lost = [crash(number, 1.0 + number * 0.1, ("=hot",)) for number in range(5)]
    evidence = evidence_of(*lost)
    assert evidence.find_blame(subjects("=hot"))
    evidence.merge(sound("=hot", 0.9), 10.0)
    assert evidence.find_blame(subjects("=hot")) is None
    evidence = evidence_of(*lost)
    evidence.merge(sound("=hot", 0.9 - blame_rules.WHOLE_ANSWER_VALID_S), 10.0)
    assert evidence.find_blame(subjects("=hot"))


def test_request_whose_own_crashes_follow_each_other_is_not_repeated():
    lost = [crash(number, number * 0.04, ("=bad",)) for number in range(2)]
    assert evidence_of(*lost[:1]).may_repeat(subjects("=bad"))
    assert not evidence_of(*lost).may_repeat(subjects("=bad"))
    others = [crash(50 + number, 0.02, (f"={number}",)) for number in range(5)]
    assert evidence_of(*lost, *others).may_repeat(subjects("=bad"))


def test_requests_that_were_lost_together_are_told_apart_by_the_next_crash():
    together = [crash(number, number * 0.2, ("=bad",), ("=x",)) for number in range(3)]
    evidence = evidence_of(*together)
    assert evidence.find_blame(subjects("=bad")) is None
    evidence.merge(crashes.Evidence((crash(9, 2.0, ("=bad",)),)), 10.0)
    assert evidence.find_blame(subjects("=bad"))
    assert evidence.find_blame(subjects("=x")) is None
