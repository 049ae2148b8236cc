"""Converts evidence of crashes from and to the messages between daemons."""

from lacewingdrum_protocol import crash_messages
from lacewingdrum_state import crashes, ids, units


def to_message(evidence: crashes.Evidence, now_s: float) -> crash_messages.CrashNews:
    """Return the message for evidence, with ages in place of times."""

    def age_ms(at_s: float) -> int:
        return max(round((now_s - at_s) * units.MS_PER_S), 0)

    return crash_messages.CrashNews(
        tuple(
            crash_messages.CrashReport(
                crash.runner_id,
                crash.born_ms,
                age_ms(crash.at_s),
                tuple(sorted(map(crashes.sort_key, crash.lost))),
                tuple(sorted(crash.reporters)),
            )
            for crash in evidence.crashes
        ),
        tuple(
            crash_messages.SoundReport(str(sound.subject), age_ms(sound.at_s))
            for sound in evidence.sound
        ),
        tuple(
            crash_messages.TrialReport(
                str(trial.subject), age_ms(trial.at_s), trial.count
            )
            for trial in evidence.trials
        ),
    )


def from_message(news: crash_messages.CrashNews, now_s: float) -> crashes.Evidence:
    """Return the evidence of a message, with times on this daemon's clock."""

    def at_s(age_ms: int) -> float:
        return now_s - age_ms / units.MS_PER_S

    return crashes.Evidence(
        tuple(
            crashes.RunnerCrash(
                ids.RunnerId(report.runner_id),
                report.born_ms,
                at_s(report.age_ms),
                frozenset(
                    tuple(map(crashes.parse_subject, request))
                    for request in report.lost
                ),
                frozenset(ids.VmId(reporter) for reporter in report.reporters),
            )
            for report in news.crashes
        ),
        tuple(
            crashes.SoundSubject(
                crashes.parse_subject(sound.subject), at_s(sound.age_ms)
            )
            for sound in news.sound
        ),
        tuple(
            crashes.Trial(
                crashes.parse_subject(trial.subject), at_s(trial.age_ms), trial.count
            )
            for trial in news.trials
        ),
    )
