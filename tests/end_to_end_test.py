"""Tests of requests, orders and operator commands on real processes."""

import asyncio
import json
import signal

from standins import answers
from tests import whole_system

TOKENS = 12


def streamed_text(body):
    """Return a streamed answer's joined text, and whether it was complete."""
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: ")]
    texts = [
        json.loads(event)["choices"][0]["text"]
        for event in events
        if event != b"[DONE]"
    ]
    return "".join(texts), events[-1] == b"[DONE]"


async def check_answers(deployment):
    prompt = "Is bottle 7 ready? " * 200
    expected = answers.answer_text(prompt, 0, TOKENS)
    whole = await whole_system.complete(deployment, "vm-0", prompt, TOKENS)
    assert json.loads(whole.body)["choices"][0]["text"] == expected
    streamed = await whole_system.complete(deployment, "vm-1", prompt, TOKENS, True)
    assert streamed_text(streamed.body) == (expected, True)


async def check_refusals(deployment):
    body = whole_system.completion_body("p", 1)
    path = "/v1/completions"
    unknown = await whole_system.call(
        deployment, "vm-0", "POST", path, body, (), "nobody"
    )
    assert unknown.status == 401
    malformed = await whole_system.call(deployment, "vm-0", "POST", path, b"{", ())
    assert malformed.status == 400
    assert malformed.header("lacewingdrum-ran") == "no"
    no_key = await whole_system.order(deployment, "vm-0", "POST", "/withdrawals", b"{}")
    assert no_key.status == 400
    nowhere = await whole_system.call(deployment, "vm-0", "GET", "/nowhere", b"")
    assert nowhere.status == 404


async def check_orders(deployment):
    async def send(vm_id, body):
        return await whole_system.order(
            deployment, vm_id, "POST", "/withdrawals", body, "key-1"
        )

    first = await send("vm-0", b'{"bottle": 1}')
    repeated = await asyncio.gather(
        *(send(vm, b'{"bottle": 1}') for vm in deployment.daemons)
    )
    assert {answer.body for answer in repeated} == {first.body}
    other = await send("vm-1", b'{"bottle": 2}')
    assert other.status == 422
    record = await deployment.record(deployment.runners["ledger-0"])
    assert record["effects"] == {"key-1": 1}


async def check_operators(deployment):
    answer = await whole_system.complete(deployment, "vm-0", "explain me", 2)
    request_id = answer.header("lacewingdrum-request-id")
    code, output = await whole_system.command(deployment, "explain", request_id)
    assert code == 0, output
    assert "routed" in output and "finished" in output
    code, output = await whole_system.command(deployment, "status", "--json")
    assert code == 0, output
    services = {entry["service"]: entry for entry in json.loads(output)["services"]}
    assert services[whole_system.MODEL_SERVICE]["version"] == 1
    metrics = await whole_system.call(deployment, "vm-0", "GET", "/metrics", b"")
    assert b"lacewingdrum_time_to_first_token_seconds" in metrics.body


def test_requests_orders_and_operator_calls_across_processes(folder):
    async def main():
        async with whole_system.running(whole_system.plan(), folder) as deployment:
            await check_answers(deployment)
            await check_refusals(deployment)
            await check_orders(deployment)
            await check_operators(deployment)

    asyncio.run(main())


def test_a_killed_daemon_fails_only_its_own_requests(folder):
    async def main():
        options = ("--decode-step-s", "0.1")
        plan = whole_system.plan(options=options)
        async with whole_system.running(plan, folder) as deployment:
            calls = {
                vm_id: asyncio.ensure_future(
                    whole_system.complete(
                        deployment, vm_id, f"prompt {vm_id}", 20, True
                    )
                )
                for vm_id in deployment.daemons
            }
            await asyncio.sleep(0.6)
            await deployment.kill_daemon("vm-1")
            outcomes = await asyncio.gather(*calls.values(), return_exceptions=True)
            for vm_id, outcome in zip(calls, outcomes, strict=True):
                if vm_id == "vm-1":
                    assert isinstance(outcome, ConnectionError)
                    continue
                expected = answers.answer_text(f"prompt {vm_id}", 0, 20)
                assert streamed_text(outcome.body) == (expected, True)

    asyncio.run(main())


def test_settings_signal_aborts_no_request(folder):
    # SIGHUP had its default action: the daemon ended with all its requests.
    async def main():
        options = ("--decode-step-s", "0.05")
        plan = whole_system.plan(options=options)
        async with whole_system.running(plan, folder) as deployment:
            daemon = deployment.daemons["vm-0"].child
            call = asyncio.ensure_future(
                whole_system.complete(deployment, "vm-0", "a prompt", 20, True)
            )
            await asyncio.sleep(0.3)
            daemon.send_signal(signal.SIGHUP)
            expected = answers.answer_text("a prompt", 0, 20)
            assert streamed_text((await call).body) == (expected, True)
            assert '"reloaded"' in daemon.log.read_text()

    asyncio.run(main())
