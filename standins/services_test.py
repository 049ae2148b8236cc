"""Tests of the stand-in services over their data and control ports."""

import asyncio
import contextlib
import json
import time

import msgspec

from lacewingdrum_protocol import members_api, runner_api, sse, table_api
from lacewingdrum_state import fleet, states
from lacewingdrum_transport import http_client
from standins import answers, members, plain_service, runner, runner_model, table

FAST = runner_model.RunnerConfig(
    "r1", prefill_tokens_per_s=1_000_000, decode_step_s=0.001, load_lag_s=0.0
)


class StandInClient:
    """A client of the data port and the control port of one stand-in."""

    def __init__(self, http, data, control):
        self._http = http
        self._data = fleet.Address("127.0.0.1", data)
        self._control = fleet.Address("127.0.0.1", control)

    async def call(self, method, path, message=None, headers=(), timeout_s=2.0):
        body = b"" if message is None else msgspec.json.encode(message)
        return await self._http.request(
            self._data, method, path, headers, body, timeout_s
        )

    async def control(self, path, **fields):
        body = json.dumps(fields).encode()
        answer = await self._http.request(self._control, "POST", path, (), body, 2.0)
        return answer.unwrap().status

    async def record(self):
        answer = await self._http.request(self._control, "GET", "/record")
        return json.loads(answer.unwrap().body)


@contextlib.asynccontextmanager
async def running_stand_in(service, close=None):
    ports = await service.stand_in.start()
    http = http_client.HttpClient()
    try:
        yield StandInClient(http, *ports)
    finally:
        await http.close()
        await (close or service.stand_in.close)()


@contextlib.asynccontextmanager
async def running_engine(config=FAST, **options):
    service = runner.RunnerService(config, **options)
    service.start()
    async with running_stand_in(service, service.close) as ports:
        yield ports


def completion(attempt_id, prompt="a prompt", **fields):
    call = {"attempt_id": attempt_id, "prompt": prompt, "prompt_tokens": 1_000}
    call |= {"max_tokens": 20, "priority": 0, "patience_ms": 1_000}
    return call | fields


def decode_parts(answer):
    events = sse.SseParser().feed(answer.unwrap().body)
    is_done = bool(events) and events[-1] == runner_api.DONE_DATA
    decoded = [
        msgspec.json.decode(data, type=runner_api.CompletionPart)
        for data in events
        if data != runner_api.DONE_DATA
    ]
    return decoded, is_done


async def test_a_table_write_whose_reply_is_lost_has_its_effect():
    service = table.TableService()
    async with running_stand_in(service) as ports:
        entry = table_api.WriteEntry("t", "k", 0, b"value")
        call = table_api.WriteCall((entry,))
        assert await ports.control("/control", lose_replies=1.0) == 200
        assert (await ports.call("POST", "/write", call, timeout_s=0.3)).is_err()
        await ports.control("/control", lose_replies=0.0)
        answer = (await ports.call("POST", "/write", call)).unwrap()
        (result,) = msgspec.json.decode(answer.body, type=table_api.WriteAnswer).results
        assert not result.applied
        assert result.row == table_api.RowEntry("t", "k", 1, b"value")
        await ports.control("/control", outage=True)
        assert (await ports.call("POST", "/write", call)).unwrap().status == 503
        assert service.model.write_count == 1


async def test_a_late_write_is_applied_after_its_reply_was_lost():
    service = table.TableService()
    async with running_stand_in(service) as ports:
        await ports.control("/control", late_writes=1.0, late_ms=20)
        call = table_api.WriteCall((table_api.WriteEntry("t", "k", 0, b"value"),))
        assert (await ports.call("POST", "/write", call, timeout_s=0.3)).is_err()
        async with asyncio.timeout(2):
            while not service.model.write_count:
                await asyncio.sleep(0.01)


async def test_open_connections_go_silent_while_new_ones_work():
    service = table.TableService()
    async with running_stand_in(service) as ports:
        call = table_api.ReadCall((("t", "k"),))
        assert (await ports.call("POST", "/read", call)).is_ok()
        await ports.control("/silence")
        assert (await ports.call("POST", "/read", call, timeout_s=0.2)).is_err()
        assert (await ports.call("POST", "/read", call)).is_ok()


async def test_an_engine_streams_its_answer_and_resumes_from_an_offset():
    async with running_engine() as ports:
        path = runner_api.COMPLETIONS_PATH
        answer = await ports.call("POST", path, completion("a.1"))
        parts, is_done = decode_parts(answer)
        assert is_done and parts[-1].finish_reason == "length"
        text = "".join(part.text for part in parts)
        assert text == answers.answer_text("a prompt", 0, 20)
        resumed = completion("a.2", resume_offset=5, resume_text="whatever it was")
        parts, _ = decode_parts(await ports.call("POST", path, resumed))
        assert parts[0].offset == 5
        text = "".join(part.text for part in parts)
        assert text == answers.answer_text("a prompt", 5, 15)
        record = await ports.record()
        assert record["started"] == ["a.1", "a.2"] and record["held"] == {}


async def test_an_engine_that_refuses_has_not_started():
    async with running_engine() as ports:
        await ports.control("/control", leaving=True)
        path = runner_api.COMPLETIONS_PATH
        answer = (await ports.call("POST", path, completion("a.1"))).unwrap()
        refusal = msgspec.json.decode(answer.body, type=runner_api.RefusalAnswer)
        assert answer.status == 503 and not refusal.started
        assert refusal.reason is runner_api.RefusalReason.LEAVING
        assert (await ports.record())["started"] == []


async def test_attempt_of_an_aborted_stream_holds_memory_until_cancelled():
    config = runner_model.RunnerConfig("r1", decode_step_s=5.0, load_lag_s=0.0)
    async with running_engine(config) as ports:
        await ports.control("/control", cut_streams=1.0, lose_cancels=1.0)
        path = runner_api.COMPLETIONS_PATH
        assert (await ports.call("POST", path, completion("a.1"))).is_err()
        assert (await ports.record())["held"] == {"a.1": 1_020}
        cancel = {"attempt_id": "a.1"}
        assert (await ports.call("POST", runner_api.CANCEL_PATH, cancel)).is_err()
        assert (await ports.record())["held"] == {"a.1": 1_020}
        await ports.control("/control", lose_cancels=0.0)
        assert (await ports.call("POST", runner_api.CANCEL_PATH, cancel)).is_ok()
        assert (await ports.record())["held"] == {}


async def test_mixed_parts_contain_the_complete_answer():
    async with running_engine(
        runner_model.RunnerConfig("r1", decode_step_s=0.03)
    ) as ports:
        await ports.control("/control", mix_parts=0.8)
        path = runner_api.COMPLETIONS_PATH
        parts, is_done = decode_parts(await ports.call("POST", path, completion("a.1")))
        assert is_done
        parts_by_offset = {
            part.offset: part for part in parts if part.attempt_id == "a.1"
        }
        text = "".join(
            parts_by_offset[offset].text for offset in sorted(parts_by_offset)
        )
        assert text == answers.answer_text("a prompt", 0, 20)
        assert [part.offset for part in parts] != sorted(parts_by_offset), (
            "nothing was mixed"
        )


async def test_stale_fencing_numbers_are_refused_only_if_the_engine_checks_them():
    for checks, last in ((True, 2), (False, 1)):
        async with running_engine(checks_fencing=checks) as ports:
            path = runner_api.DESIRED_MODEL_PATH
            new, stale = (
                runner_api.DesiredModelCall(2, "m@2"),
                runner_api.DesiredModelCall(1, "m"),
            )
            assert (await ports.call("POST", path, new)).unwrap().status == 200
            answer = (await ports.call("POST", path, stale)).unwrap()
            found = msgspec.json.decode(answer.body, type=runner_api.DesiredModelAnswer)
            assert found.fencing_number == last
            assert answer.status == (409 if checks else 200)


async def test_a_plain_service_counts_effects_by_key():
    service = plain_service.PlainService()
    async with running_stand_in(service) as ports:
        headers = (("Idempotency-Key", "k1"), (runner_api.ATTEMPT_HEADER, "a.1"))
        await ports.control("/control", refuse="busy")
        answer = (await ports.call("POST", "/orders", {}, headers)).unwrap()
        assert answer.status == 503 and service.model.record()["effects"] == {}
        await ports.control("/control", refuse="", lose_replies=1.0)
        lost = await ports.call("POST", "/orders", {}, headers, timeout_s=0.3)
        assert lost.is_err()
        record = await ports.record()
        assert record["effects"] == {"k1": 1} and record["attempts"] == ["a.1"]


def test_the_membership_list_is_delayed_by_the_lag():
    now_s = [10.0]
    model = members.MembersModel(lambda: now_s[0])
    entry = members_api.RunnerEntry("r1", "s", "dc", "127.0.0.1", 1)
    model.set(members_api.MembersAnswer((), (entry,)))
    now_s[0] = 20.0
    leaving = msgspec.structs.replace(entry, state=states.MemberState.LEAVING)
    model.set(members_api.MembersAnswer((), (leaving,)))
    assert model.read(5.0).runners == (entry,)
    now_s[0] = 25.0
    assert model.read(5.0).runners == (leaving,)


async def test_unknown_faults_are_refused_and_the_delay_is_applied():
    service = table.TableService()
    async with running_stand_in(service) as ports:
        began_s = time.monotonic()
        assert await ports.control("/control", outagee=True) == 400
        assert await ports.control("/control", delay_ms=50) == 200
        await ports.call("POST", "/read", table_api.ReadCall(()))
        assert time.monotonic() - began_s >= 0.05
