"""Converts loads and attempts to entries of peer messages and back."""

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids, requests, units


def in_flight_entry(
    attempt: requests.InFlightAttempt, now_s: float
) -> peer_messages.InFlightEntry:
    """Return the entry that reports an attempt to a runner's coordinator."""
    return peer_messages.InFlightEntry(
        attempt_id=attempt.attempt_id,
        runner_id=attempt.runner_id,
        prompt_tokens=attempt.prompt_tokens,
        total_tokens=attempt.total_tokens,
        age_ms=int(units.MS_PER_S * (now_s - attempt.sent_s)),
    )


def load_entry(load: fleet.RunnerLoad, now_s: float) -> peer_messages.LoadEntry:
    """Return the entry that reports a runner's load to peers."""
    return peer_messages.LoadEntry(
        runner_id=load.runner_id,
        age_ms=int(units.MS_PER_S * (now_s - load.as_of_s)),
        queued_short_tokens=load.queued_short_tokens,
        queued_mid_tokens=load.queued_mid_tokens,
        queued_long_tokens=load.queued_long_tokens,
        running_count=load.running_count,
        kv_used_tokens=load.kv_used_tokens,
        kv_capacity_tokens=load.kv_capacity_tokens,
        prefill_tokens_per_s=load.prefill_tokens_per_s,
        decode_tokens_per_s=load.decode_tokens_per_s,
    )


def runner_load(entry: peer_messages.LoadEntry, now_s: float) -> fleet.RunnerLoad:
    """Return the load of a peer's entry, timed by this daemon's clock."""
    return fleet.RunnerLoad(
        runner_id=ids.RunnerId(entry.runner_id),
        as_of_s=now_s - entry.age_ms / units.MS_PER_S,
        queued_short_tokens=entry.queued_short_tokens,
        queued_mid_tokens=entry.queued_mid_tokens,
        queued_long_tokens=entry.queued_long_tokens,
        running_count=entry.running_count,
        kv_used_tokens=entry.kv_used_tokens,
        kv_capacity_tokens=entry.kv_capacity_tokens,
        prefill_tokens_per_s=entry.prefill_tokens_per_s,
        decode_tokens_per_s=entry.decode_tokens_per_s,
    )


def in_flight_attempt(
    entry: peer_messages.InFlightEntry, now_s: float
) -> requests.InFlightAttempt:
    """Return the attempt of a peer's entry, timed by this daemon's clock."""
    return requests.InFlightAttempt(
        ids.AttemptId(entry.attempt_id),
        ids.RunnerId(entry.runner_id),
        entry.prompt_tokens,
        entry.total_tokens,
        now_s - entry.age_ms / units.MS_PER_S,
    )
