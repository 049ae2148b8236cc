"""Tests of what daemons learn of the runners' prefix caches."""

import types

from result import Err, Ok

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import cache_keeper
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
        self.asked = []

    async def cache_events(self, runner, since, timeout_s):
        self.asked.append((runner.runner_id, since))
        return self.answers[runner.runner_id]


def keep(runners, answers, rounds=1):
    learned, told = [], []
    fake = FakeRunners(answers)

    async def main(loop):
        peers = types.SimpleNamespace(
            on_message=lambda body_type, handler: None,
            broadcast=lambda body, centre: told.append((body, centre)),
        )
        view = membership.merge(
            membership.View(), fleet.Members((), tuple(runners)), loop.time()
        )
        keeper = cache_keeper.CacheKeeper(
            fake,
            peers,
            types.SimpleNamespace(view=view),
            OWN,
            lambda runner_id, changes: learned.append((runner_id, tuple(changes))),
            loop.time,
        )
        for _ in range(rounds):
            await keeper.run_round()

    virtual_time.run(main)
    return fake, learned, told


def test_the_last_change_of_a_block_is_told_to_the_data_centre():
    events = (
        runner_api.CacheEvent(1, STORED, 7),
        runner_api.CacheEvent(2, STORED, 8),
        runner_api.CacheEvent(5, EVICTED, 7),
    )
    answer = Ok(runner_api.CacheEventsAnswer(events, 5))
    fake, learned, told = keep([engine("a")], {"a": answer}, rounds=2)
    assert told[0] == (peer_messages.CacheSummary("a", 1, (8,), (7,)), CENTRE)
    assert [(c.block_hash, c.is_stored) for c in learned[0][1]] == [
        (7, False),
        (8, True),
    ]
    assert fake.asked == [("a", 0), ("a", 5)]


def test_a_runner_that_started_anew_is_read_from_the_beginning():
    first = Ok(runner_api.CacheEventsAnswer((), 9))
    fake, _, _ = keep([engine("a")], {"a": first})
    assert fake.asked == [("a", 0)]
    again = runner_api.CacheEventsAnswer((), 0)
    fake, _, told = keep([engine("a")], {"a": Ok(again)}, rounds=2)
    assert fake.asked == [("a", 0), ("a", 0)]
    assert told == []


def test_runners_without_a_cache_are_left_alone():
    error = runner_client.RunnerError(runner_client.RunnerErrorReason.MALFORMED)
    fake, _, _ = keep([engine("a")], {"a": Err(error)}, rounds=5)
    assert len(fake.asked) == 1


def test_runners_of_other_data_centres_are_not_asked():
    fake, _, _ = keep([engine("a", "other")], {})
    assert fake.asked == []
