"""Tests of a model request under failures, in virtual time."""

import asyncio
import dataclasses
import random
import types

from result import Err, Ok

from lacewingdrum_coordination import admission, retries, routing
from lacewingdrum_daemon import (
    attempt_executor,
    completions,
    group_memory,
    in_flight_attempts,
    stream_watchdog,
)
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_runtime import metrics
from lacewingdrum_state import documents, fleet, ids, requests, states
from lacewingdrum_transport import runner_client
from tests import virtual_time

Reason = runner_client.RunnerErrorReason
SERVICE = ids.ServiceName("m")
TEXT = [f"{number} " for number in range(8)]
SILENT_S = 1e6
PATIENCE_S = 60.0
PROCESSING_S = 0.1


def runner(name):
    return fleet.Runner(
        ids.RunnerId(name),
        SERVICE,
        ids.DataCentre("d"),
        fleet.Address("127.0.0.1", 1),
        ids.Incarnation(1),
    )


def part(attempt_id, offset):
    last = offset == len(TEXT) - 1
    return runner_api.CompletionPart(
        attempt_id, offset, 1, TEXT[offset], "stop" if last else ""
    )


@dataclasses.dataclass
class Script:
    """How a fake runner responds to an attempt."""

    parts: int = len(TEXT)
    then: str = "done"
    refuse: Reason | None = None
    sends_other_attempt: bool = False
    part_pause_s: float = 0.02


class FakeStream:
    def __init__(self, script, call, loop):
        self.script, self.call, self.loop = script, call, loop
        self.queue = self.make()

    def make(self):
        first = self.call.resume_offset
        for offset in range(first, min(first + self.script.parts, len(TEXT))):
            if self.script.sends_other_attempt:
                yield Ok(part("another.1", offset))
            yield Ok(part(self.call.attempt_id, offset))
        if self.script.then == "done":
            yield Ok(None)
        if self.script.then == "cut":
            yield Err(runner_client.RunnerError(Reason.LOST))

    async def next(self, timeout_s):
        await asyncio.sleep(self.script.part_pause_s)
        for found in self.queue:
            return found
        await asyncio.sleep(timeout_s)
        return Err(runner_client.RunnerError(Reason.TIMEOUT))

    async def close(self):
        pass


class FakeRunners:
    """Responds to each attempt by the next script, and records all calls."""

    def __init__(self, loop, *scripts, lost_cancels=0):
        self.loop, self.scripts = loop, list(scripts)
        self.lost_cancels = lost_cancels
        self.started, self.held, self.calls = [], set(), []
        self.ended = set()

    async def complete(self, target, call, timeout_s):
        script = self.scripts.pop(0)
        self.calls.append(call)
        if script.refuse is not None:
            return Err(
                runner_client.RunnerError(script.refuse, runner_api.RefusalReason.BUSY)
            )
        self.started.append(call.attempt_id)
        self.held.add((target.runner_id, call.attempt_id))
        if script.then == "ended_silently":
            self.ended.add(call.attempt_id)
        return Ok(FakeStream(script, call, self.loop))

    async def cancel(self, target, attempt_id, timeout_s):
        if self.lost_cancels:
            self.lost_cancels -= 1
            await asyncio.sleep(timeout_s)
            return Err(runner_client.RunnerError(Reason.TIMEOUT))
        self.held.discard((target.runner_id, attempt_id))
        state = runner_api.CancelState.CANCELLED
        return Ok(runner_api.CancelAnswer(attempt_id, state))

    async def load(self, target, timeout_s):
        held = tuple(
            fleet.HeldMemory(attempt_id, 1)
            for runner_id, attempt_id in self.held
            if runner_id == target.runner_id and attempt_id not in self.ended
        )
        now_s = self.loop.time()
        return Ok(
            fleet.RunnerLoad(
                target.runner_id, now_s, 0, 0, 0, 0, 0, 400_000, 1e4, 50.0, held
            )
        )

    async def import_kv(self, target, call, timeout_s):
        self.held.add((target.runner_id, call.attempt_id))
        script = self.scripts.pop(0)
        if script.refuse is Reason.REFUSED:
            self.held.discard((target.runner_id, call.attempt_id))
        if script.refuse is not None:
            return Err(runner_client.RunnerError(script.refuse))
        return Ok(runner_api.ImportAnswer(call.attempt_id, call.tokens))


class FakeAnswer:
    def __init__(self, loop):
        self.loop, self.text = loop, ""
        self.finished_s = self.failed_s = self.failure = None

    async def append_part(self, found):
        self.text += found.text

    async def finish(self, stream):
        self.finished_s = self.loop.time()

    async def fail(self, failure):
        self.failure, self.failed_s = failure, self.loop.time()


class Bench:
    """A ``Completions`` with fake dependencies and three runners."""

    def __init__(self, loop, *scripts, lost_cancels=0, names=("a", "b", "c")):
        self.loop = loop
        self.runners = FakeRunners(loop, *scripts, lost_cancels=lost_cancels)
        rng = random.Random(1)
        router = routing.Router(ids.DataCentre("d"), rng)
        router.set_runners([runner(name) for name in names])
        self.in_flight = in_flight_attempts.InFlightAttempts(
            self.runners, lambda attempt_id: None
        )
        self.leaving = []
        self.reservations = []
        members = types.SimpleNamespace(
            mark_runner_leaving=lambda *mark: self.leaving.append(mark)
        )
        log = types.SimpleNamespace(record=lambda *line, **fields: None)
        self.answer = FakeAnswer(loop)
        self.groups = group_memory.GroupMemory(
            self.runners, self.in_flight, self, loop.time, rng
        )
        self.completions = completions.Completions(
            router,
            attempt_executor.AttemptExecutor(
                self.runners, members, metrics.Metrics(), loop.time
            ),
            self.in_flight,
            self.groups,
            retries.RetryBudget(),
            log,
            types.SimpleNamespace(observe_request=lambda call: admission.Pressure()),
            loop.time,
            rng,
        )

    async def reserve(self, reservation_id, parts):
        self.reservations.append(reservation_id)
        return True

    def release(self, reservation_id, parts):
        self.reservations.remove(reservation_id)

    def request(self, patience_s, prompt_tokens):
        now_s = self.loop.time()
        return requests.Request(
            ids.RequestId("req"),
            SERVICE,
            ids.CustomerId("c"),
            ids.KindName("k"),
            prompt_tokens,
            len(TEXT),
            now_s,
            now_s + patience_s,
        )

    async def run(self, patience_s=PATIENCE_S, prompt_tokens=1_000):
        request = self.request(patience_s, prompt_tokens)
        self.deadline_s = request.deadline_s
        body = callers_api.CompletionBody("m", "p", len(TEXT), True)
        call = attempt_executor.ModelCall(request, body, documents.Weights())
        return await self.completions.run(call, self.answer)

    async def check_all_released(self):
        await self.in_flight.close(300.0)
        assert self.runners.held == set(), "memory is still held"
        assert self.in_flight.entries() == ()


def run_on_bench(main, *scripts, **options):
    async def started(loop):
        bench = Bench(loop, *scripts, **options)
        return await main(bench)

    virtual_time.run(started)


def test_answer_is_forwarded_without_parts_of_other_attempts():
    async def main(bench):
        assert await bench.run() is None
        assert bench.answer.text == "".join(TEXT)
        assert bench.answer.finished_s is not None

    run_on_bench(main, Script(sends_other_attempt=True))


def test_request_to_silent_runners_fails_at_the_deadline_and_releases_memory():
    async def main(bench):
        failure = await bench.run()
        late_s = bench.answer.failed_s - bench.deadline_s
        assert late_s <= PROCESSING_S
        assert failure.ran is states.Ran.MAYBE
        assert failure.retry_after_ms > 0
        await bench.check_all_released()

    scripts = [Script(parts=0, then="silent") for _ in range(6)]
    run_on_bench(main, *scripts, lost_cancels=7)


def test_interrupted_stream_resumes_at_another_runner():
    async def main(bench):
        assert await bench.run() is None
        assert bench.answer.text == "".join(TEXT)
        first, second = bench.runners.calls
        assert second.resume_offset == 3
        assert second.resume_text == "0 1 2 "
        assert first.attempt_id != second.attempt_id
        bench.runners.held.discard(("a", second.attempt_id))

    run_on_bench(main, Script(parts=3, then="cut"), Script())


def test_silent_connection_is_detected_by_probing_the_runner():
    async def main(bench):
        started_s = bench.loop.time()
        assert await bench.run() is None
        assert bench.answer.text == "".join(TEXT)
        assert bench.answer.finished_s - started_s < 3.0

    run_on_bench(main, Script(parts=2, then="ended_silently"), Script())


def test_streams_of_a_runner_share_one_load_probe():
    async def main(loop):
        probed = []

        async def load(target, timeout_s):
            probed.append(target.runner_id)
            await asyncio.sleep(0.5)
            return Err(runner_client.RunnerError(Reason.TIMEOUT))

        probes = stream_watchdog.LoadProbes(types.SimpleNamespace(load=load))
        waiting = [asyncio.ensure_future(probes.load(runner("a"))) for _ in range(9)]
        await asyncio.sleep(0.1)
        waiting[0].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert probed == ["a"]
        await probes.load(runner("a"))
        assert probed == ["a", "a"]

    virtual_time.run(main)


def test_stream_that_ends_without_its_last_part_is_resumed():
    async def main(bench):
        assert await bench.run() is None
        assert bench.answer.text == "".join(TEXT)
        assert len(bench.runners.calls) == 2

    run_on_bench(main, Script(parts=5, then="done"), Script())


def test_request_refused_by_every_runner_is_reported_as_not_run():
    async def main(bench):
        failure = await bench.run()
        assert failure.ran is states.Ran.NO
        assert bench.runners.started == []
        assert bench.answer.failed_s < bench.deadline_s - 1
        await bench.check_all_released()

    refusals = [Script(refuse=Reason.REFUSED) for _ in range(3)]
    run_on_bench(main, *refusals)


def test_expiry_precedes_parts_received_during_a_suspension():
    async def main(bench):
        bench.loop.call_later(0.05, bench.loop.freeze, 2 * PATIENCE_S)
        failure = await bench.run()
        assert failure is not None
        assert failure.code is callers_api.ErrorCode.PATIENCE_OVER
        assert bench.answer.finished_s is None
        await bench.check_all_released()

    run_on_bench(main, Script())


def test_caller_disconnect_releases_engine_memory():
    async def main(bench):
        task = asyncio.ensure_future(bench.run())
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await bench.check_all_released()

    run_on_bench(main, Script(parts=2, then="silent"), lost_cancels=5)


def test_lost_import_reply_releases_the_memory_of_the_whole_group():
    async def main(bench):
        lead, *members = (runner(name) for name in "abc")
        request = bench.request(4.0, 1_000_000)
        decision = routing.Decision(
            lead, tuple(members), 2, routing.Reason.GROUP, (), (300_000, 300_000)
        )
        attempt_id = ids.AttemptId("req.1")
        try:
            async with bench.groups.held(decision, request, attempt_id):
                raise AssertionError("memory was granted without all members")
        except group_memory.NoMemoryError:
            pass
        assert bench.reservations == []
        await bench.check_all_released()

    scripts = [Script(), Script(refuse=Reason.TIMEOUT)] * 30
    run_on_bench(main, *scripts, lost_cancels=3)
