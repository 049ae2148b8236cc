"""Fuzzes the list of runners with whole tables of other writers' rows."""

import base64
import copy
import json
import math
import os

import hypothesis
from hypothesis import strategies
from result import Ok

from lacewingdrum_coordination import engine_times, route_table
from lacewingdrum_gateway.runners import runner_list_codec
from lacewingdrum_platform import desired_state, runner_rows, store_calls
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import ids
from standins import error_log, odd_rows, platform_site

EXAMPLES = int(os.environ.get("LACEWINGDRUM_FUZZ_EXAMPLES", "200"))
# A running gateway takes the better part of a second for each table.
PLAYED_TABLES = max(EXAMPLES // 50, 1)
GATEWAYS = 2
LEDGER = ids.ServiceName(platform_site.LEDGER)
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)


def drawn_tables(count: int) -> list[dict[str, bytes]]:
    """Return tables that hypothesis draws, the same in each run."""
    tables: list[dict[str, bytes]] = []

    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(odd_rows.TABLES)
    def draw(table):
        tables.append(table)

    draw()
    return sorted(tables, key=len)[-count:]


@SETTINGS
@hypothesis.given(odd_rows.TABLES)
def test_any_table_is_decoded_to_entries_that_peers_can_be_sent(table):
    good = json.dumps(odd_rows.ENTRY).encode()
    rows = [
        {"key": key, "value": base64.b64encode(value).decode(), "ver": 1}
        for key, value in {**table, "good": good}.items()
    ]
    answer = json.dumps({"ver": 1, "rows": rows}).encode()
    found, _ = store_calls.decode_rows(answer, 1, store_calls.RUNNERS_TABLE)
    entries = [runner_rows.decode(row.key, row.value)[0] for row in found.rows]
    taken = [entry for entry in entries if entry is not None]
    assert "good" in [entry.runner_id for entry in taken]
    sent = tuple(map(runner_list_codec.message_from_entry, taken))
    push = peer_messages.RunnerListPush(1, 0, 1, 0, sent)
    received = peer_messages.decode(peer_messages.encode("a", push))
    assert isinstance(received, Ok)
    changed = received.ok_value.body.changed
    assert [runner_list_codec.entry_from_message(item) for item in changed] == taken


@SETTINGS
@hypothesis.given(strategies.data())
def test_any_configuration_that_is_taken_can_be_announced_and_calculated_with(data):
    state = copy.deepcopy(platform_site.make_configuration())
    parts = (
        state,
        state["routes"][0],
        state["services"][0]["engine"],
        state["limits"],
        state["tenants"][0],
    )
    for part in parts:
        names = strategies.sampled_from(tuple(part))
        numbers = strategies.dictionaries(names, odd_rows.NUMBERS, max_size=1)
        part.update(data.draw(numbers))
    found, _ = desired_state.decode(json.dumps(state).encode())
    if found is None:
        return
    heartbeat = peer_messages.Heartbeat(1, "n", False, (), (), found.version)
    assert isinstance(peer_messages.decode(peer_messages.encode("a", heartbeat)), Ok)
    for route in found.routes:
        assert 0 <= route.timeout_ms < 1e9 and 0 <= route.objective_ms < 1e9
        route_table.pick_service(route, "a1")
    for service in found.services.values():
        if service.engine is not None:
            read_ms = engine_times.prefill_ms(service.engine, 10**15, 1)
            assert math.isfinite(read_ms)
            assert math.isfinite(engine_times.decode_pass_ms(service.engine, 9, 1e15))
            int(engine_times.prefill_tokens_within(service.engine, 1e9))


async def test_any_table_leaves_the_runners_listed_at_running_gateways():
    with error_log.collected_errors() as errors:
        async with platform_site.running_site(GATEWAYS) as site:
            rosters = [running.daemon.components.roster for running in site.gateways]
            for table in drawn_tables(PLAYED_TABLES):
                for key, value in table.items():
                    site.store.put("servers", key, value)
                version = site.store.version
                for roster in rosters:
                    await site.wait_until(
                        lambda roster=roster, version=version: (
                            roster.version.version >= version
                        )
                    )
                    names = {entry.runner_id for entry in roster.of_service(LEDGER)}
                    assert names >= {"l0", "l1"}, table
                assert set(rosters[0].entries) == set(rosters[1].entries), table
                for key in table:
                    site.store.delete("servers", key)
    assert not errors, errors
