"""Tests that the checks of a load find what they are there to find."""

import json
import types

from lacewingdrum_state import documents, states
from standins import answers, calls, load, verdict

KIND = documents.RequestKind("kind", 1_000, 2.0, max_prompt_tokens=100)
SERVICE = documents.ServiceDocument(
    "service", states.ServiceType.MODEL, "tests", (), (KIND,), model="model"
)
PROMPT = calls.CompletionPlan(SERVICE, KIND, "token", "a prompt", 4, True)
ORDER = calls.ServicePlan(SERVICE, KIND, "token", "POST", "/x", b"{}", "k1")


def outcome(plan, end, **fields):
    return calls.Outcome(plan, daemon="vm-1", end=end, **fields)


class Deployment:
    """Records of runners, without the processes."""

    def __init__(self, **records):
        child = types.SimpleNamespace(is_running=True)
        self.runners = {
            name: types.SimpleNamespace(child=child, found=found)
            for name, found in records.items()
        }

    async def record(self, process):
        return process.found


async def judged(result, killed=frozenset(), **records):
    found = await verdict.judge(Deployment(**records), result, killed)
    return found


def orders(*order_outcomes, key="k1"):
    result = load.LoadResult()
    result.orders[key] = list(order_outcomes)
    return result


async def test_an_order_that_took_effect_twice_is_found():
    result = orders(outcome(ORDER, calls.End.ANSWERED))
    once = await judged(result, p1={"effects": {"k1": 1}})
    assert once.violations == () and once.orders_effective == 1
    twice = await judged(result, p1={"effects": {"k1": 1}}, p2={"effects": {"k1": 1}})
    assert twice.violations == ("order k1 took effect 2 times",)
    assert (await judged(result, p1={"effects": {}})).violations


async def test_a_refused_order_that_took_effect_is_found():
    refused = outcome(ORDER, calls.End.FAILED, ran="no", request_id="req-1")
    unknown = outcome(ORDER, calls.End.CONNECTION_LOST)
    effects = {"effects": {"k1": 1}}
    assert (await judged(orders(refused), p1=effects)).violations
    killed = frozenset(["vm-1"])
    mixed = await judged(orders(refused, unknown), killed, p1=effects)
    assert mixed.violations == () and mixed.cut_by_killed == 1


async def test_a_request_called_not_run_that_ran_is_found():
    refused = outcome(PROMPT, calls.End.FAILED, ran="no", request_id="req-1")
    result = load.LoadResult([refused])
    assert (await judged(result, e1={"started": ["req-2.1"]})).violations == ()
    assert (await judged(result, e1={"started": ["req-1.2"]})).violations


async def test_cuts_are_allowed_at_killed_daemons_only():
    result = load.LoadResult([outcome(PROMPT, calls.End.CONNECTION_LOST)])
    assert (await judged(result)).violations
    assert (await judged(result, frozenset(["vm-1"]))).violations == ()


def stream(*texts, end="[DONE]"):
    events = [json.dumps({"choices": [{"text": text}]}) for text in texts]
    lines = [*events, *([end] if end else [])]
    return "".join(f"data: {line}\n\n" for line in lines).encode()


def checked(received):
    found = calls.Outcome(PROMPT)
    calls.check_stream(received, answers.answer_text("a prompt", 0, 4), found)
    return found


def test_only_the_whole_and_right_stream_counts_as_answered():
    first, rest = answers.answer_text("a prompt", 0, 1), ""
    rest = answers.answer_text("a prompt", 1, 3)
    other = answers.answer_text("other", 1, 3)
    assert checked(stream(first, rest)).end is calls.End.ANSWERED
    assert checked(stream(first, rest, end="")).end is calls.End.CONNECTION_LOST
    assert checked(stream(first)).end is calls.End.WRONG
    assert checked(stream(first, first, rest)).end is calls.End.WRONG
    assert checked(stream(first, other)).end is calls.End.WRONG
    assert checked(stream(first, other, end="")).end is calls.End.WRONG


def test_a_stream_that_ends_with_an_error_is_an_honest_failure():
    error = json.dumps({"error": {"code": "patience_over", "ran": "maybe"}})
    first = answers.answer_text("a prompt", 0, 1)
    found = checked(stream(first, end=error))
    assert (found.end, found.code) == (calls.End.FAILED, "patience_over")
    assert found.ran == "maybe" and not found.is_refused
    assert checked(stream("wrong", end=error)).end is calls.End.WRONG
