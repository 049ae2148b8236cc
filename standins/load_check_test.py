"""Tests that the checks of a load find broken guarantees."""

import json
import types

from lacewingdrum_state import documents, states
from standins import answers, calls, load, load_check

KIND = documents.RequestKind("kind", 1_000, 2.0, max_prompt_tokens=100)
SERVICE = documents.ServiceDocument(
    "service", states.ServiceType.MODEL, "tests", (), (KIND,), model="model"
)
PROMPT = calls.CompletionPlan(SERVICE, KIND, "token", "a prompt", 4, True)
ORDER = calls.ServicePlan(SERVICE, KIND, "token", "POST", "/x", b"{}", "k1")


def outcome(plan, end, **fields):
    return calls.Outcome(plan, daemon="vm-1", end=end, **fields)


class Deployment:
    """A deployment that has the records of runners but no processes."""

    def __init__(self, **records):
        child = types.SimpleNamespace(is_running=True)
        self.runners = {
            name: types.SimpleNamespace(child=child, found=found)
            for name, found in records.items()
        }

    async def record(self, process):
        return process.found


async def check_result(result, killed=frozenset(), **records):
    found = await load_check.check_load(Deployment(**records), result, killed)
    return found


def orders(*order_outcomes, key="k1"):
    result = load.LoadResult()
    result.orders[key] = list(order_outcomes)
    return result


async def test_an_order_with_two_effects_or_none_is_a_violation():
    result = orders(outcome(ORDER, calls.End.ANSWERED))
    once = await check_result(result, p1={"effects": {"k1": 1}})
    assert once.violations == () and once.orders_effective == 1
    twice = await check_result(
        result, p1={"effects": {"k1": 1}}, p2={"effects": {"k1": 1}}
    )
    assert twice.violations == ("order k1 took effect 2 times",)
    assert (await check_result(result, p1={"effects": {}})).violations


async def test_a_refused_order_that_took_effect_is_a_violation():
    refused = outcome(ORDER, calls.End.FAILED, ran="no", request_id="req-1")
    unknown = outcome(ORDER, calls.End.CONNECTION_LOST)
    effects = {"effects": {"k1": 1}}
    assert (await check_result(orders(refused), p1=effects)).violations
    killed = frozenset(["vm-1"])
    mixed = await check_result(orders(refused, unknown), killed, p1=effects)
    assert mixed.violations == () and mixed.lost_at_killed == 1


async def test_a_request_reported_as_not_run_that_ran_is_a_violation():
    refused = outcome(PROMPT, calls.End.FAILED, ran="no", request_id="req-1")
    result = load.LoadResult([refused])
    assert (await check_result(result, e1={"started": ["req-2.1"]})).violations == ()
    assert (await check_result(result, e1={"started": ["req-1.2"]})).violations


async def test_lost_connections_are_allowed_only_at_killed_daemons():
    result = load.LoadResult([outcome(PROMPT, calls.End.CONNECTION_LOST)])
    assert (await check_result(result)).violations
    assert (await check_result(result, frozenset(["vm-1"]))).violations == ()


def stream(*texts, end="[DONE]"):
    events = [json.dumps({"choices": [{"text": text}]}) for text in texts]
    lines = [*events, *([end] if end else [])]
    return "".join(f"data: {line}\n\n" for line in lines).encode()


def check_received(received):
    found = calls.Outcome(PROMPT)
    calls.check_stream(received, answers.answer_text("a prompt", 0, 4), found)
    return found


def test_only_the_complete_and_expected_stream_counts_as_answered():
    first, rest = answers.answer_text("a prompt", 0, 1), ""
    rest = answers.answer_text("a prompt", 1, 3)
    other = answers.answer_text("other", 1, 3)
    assert check_received(stream(first, rest)).end is calls.End.ANSWERED
    assert check_received(stream(first, rest, end="")).end is calls.End.CONNECTION_LOST
    assert check_received(stream(first)).end is calls.End.WRONG
    assert check_received(stream(first, first, rest)).end is calls.End.WRONG
    assert check_received(stream(first, other)).end is calls.End.WRONG
    assert check_received(stream(first, other, end="")).end is calls.End.WRONG


def test_a_stream_that_ends_with_an_error_counts_as_failed():
    error = json.dumps({"error": {"code": "patience_over", "ran": "maybe"}})
    first = answers.answer_text("a prompt", 0, 1)
    found = check_received(stream(first, end=error))
    assert (found.end, found.code) == (calls.End.FAILED, "patience_over")
    assert found.ran == "maybe" and not found.is_refused
    assert check_received(stream("wrong", end=error)).end is calls.End.WRONG
