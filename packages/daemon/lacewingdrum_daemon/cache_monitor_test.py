"""Tests of tracking the runners' prefix caches."""

import types

from result import Err, Ok

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import cache_monitor
from lacewingdrum_protocol import peer_messages, runner_api
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import runner_client
from tests import virtual_time

CENTRE = ids.DataCentre("d")
OWN = (ids.VmId("vm-1"), CENTRE)
STORED = runner_api.CacheChange.STORED
EVICTED = runner_api.CacheChange.EVICTED


def engine(name, centre="d"):
    address = fleet.Address("127.0.0.1", 1)
    return fleet.Runner(
        ids.RunnerId(name),
        ids.ServiceName("m"),
        ids.DataCentre(centre),
        address,
        ids.Incarnation(1),
    )


class FakeRunners:
    def __init__(self, answers):
        self.answers = answers
        self.polls = []

    async def cache_events(self, runner, since, timeout_s):
        self.polls.append((runner.runner_id, since))
        return self.answers[runner.runner_id]


def run_rounds(runners, answers, rounds=1):
    observed, broadcasts = [], []
    fake = FakeRunners(answers)

    async def main(loop):
        peers = types.SimpleNamespace(
            on_message=lambda body_type, handler: None,
            broadcast=lambda body, centre: broadcasts.append((body, centre)),
        )
        view = membership.merge(
            membership.View(), fleet.Members((), tuple(runners)), loop.time()
        )
        monitor = cache_monitor.CacheMonitor(
            fake,
            peers,
            types.SimpleNamespace(view=view),
            OWN,
            lambda runner_id, changes: observed.append((runner_id, tuple(changes))),
            loop.time,
        )
        for _ in range(rounds):
            await monitor.run_round()

    virtual_time.run(main)
    return fake, observed, broadcasts


def test_last_change_of_each_block_is_broadcast_to_the_data_centre():
    events = (
        runner_api.CacheEvent(1, STORED, 7),
        runner_api.CacheEvent(2, STORED, 8),
        runner_api.CacheEvent(5, EVICTED, 7),
    )
    answer = Ok(runner_api.CacheEventsAnswer(events, 5))
    fake, observed, broadcasts = run_rounds([engine("a")], {"a": answer}, rounds=2)
    assert broadcasts[0] == (peer_messages.CacheSummary("a", 1, (8,), (7,)), CENTRE)
    assert [(c.block_hash, c.is_stored) for c in observed[0][1]] == [
        (7, False),
        (8, True),
    ]
    assert fake.polls == [("a", 0), ("a", 5)]


def test_restarted_runner_is_read_from_the_beginning():
    first = Ok(runner_api.CacheEventsAnswer((), 9))
    fake, _, _ = run_rounds([engine("a")], {"a": first})
    assert fake.polls == [("a", 0)]
    again = runner_api.CacheEventsAnswer((), 0)
    fake, _, broadcasts = run_rounds([engine("a")], {"a": Ok(again)}, rounds=2)
    assert fake.polls == [("a", 0), ("a", 0)]
    assert broadcasts == []


def test_runner_without_a_cache_is_not_polled_in_the_next_rounds():
    error = runner_client.RunnerError(runner_client.RunnerErrorReason.MALFORMED)
    fake, _, _ = run_rounds([engine("a")], {"a": Err(error)}, rounds=5)
    assert len(fake.polls) == 1


def test_runners_of_other_data_centres_are_not_polled():
    fake, _, _ = run_rounds([engine("a", "other")], {})
    assert fake.polls == []
