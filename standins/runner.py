"""Runs the engine model in real time behind HTTP, as a model runner.

A disconnect of the client does not end its attempt. Only a cancel or the end
of the answer does, so that tests can observe the cost of a lost cancel.
"""

import argparse
import asyncio
import time

import msgspec
from result import Err, Ok

from lacewingdrum_protocol import runner_api, sse
from lacewingdrum_transport import http_server
from standins import answers, runner_model, serving

TICK_S = 0.025
STATUS_OF = {
    runner_api.RefusalReason.LEAVING: 503,
    runner_api.RefusalReason.BUSY: 429,
    runner_api.RefusalReason.MEMORY: 429,
}

_completion_decoder = msgspec.json.Decoder(runner_api.CompletionCall)
_cancel_decoder = msgspec.json.Decoder(runner_api.CancelCall)
_import_decoder = msgspec.json.Decoder(runner_api.ImportCall)
_desired_decoder = msgspec.json.Decoder(runner_api.DesiredModelCall)
_encode = msgspec.json.encode

ProgressQueue = asyncio.Queue[runner_model.Progress | None]


class RunnerService:
    """One engine with its HTTP interface."""

    def __init__(
        self,
        config: runner_model.RunnerConfig,
        checks_fencing: bool = False,
        model: str = "",
        seed: int = 1,
    ) -> None:
        self.model = runner_model.RunnerModel(config, time.monotonic())
        self.stand_in = serving.StandIn(self._answer, self.record, seed=seed)
        self._checks_fencing = checks_fencing
        self._desired = runner_api.DesiredModelAnswer(0, model)
        self._orders: list[tuple[int, str, bool]] = []
        self._started: list[str] = []
        self._refused: list[str] = []
        self._imported: list[str] = []
        self._progress_queues: dict[str, ProgressQueue] = {}
        self._wake = asyncio.Event()
        self._engine_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to run the engine in real time."""
        self._engine_task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop the engine and its servers."""
        if self._engine_task is not None:
            self._engine_task.cancel()
            await asyncio.gather(self._engine_task, return_exceptions=True)
        await self.stand_in.close()

    def record(self) -> dict[str, object]:
        """Return what the engine did and holds, without any lag."""
        return {
            "started": self._started,
            "refused": self._refused,
            "imported": self._imported,
            "held": self.model.held,
            "desired": [self._desired.fencing_number, self._desired.model],
            "orders": self._orders,
        }

    async def _run(self) -> None:
        while True:
            self.model.slowdown = self.stand_in.faults.slowdown
            self.model.leaving = self.stand_in.faults.leaving
            for progress in self.model.advance(time.monotonic()):
                queue = self._progress_queues.get(progress.attempt_id)
                if queue is not None:
                    queue.put_nowait(progress)
            self._wake.clear()
            event_s = self.model.next_event_s()
            wait_s = None
            if event_s is not None:
                wait_s = min(TICK_S, max(0.001, event_s - time.monotonic()))
            try:
                await asyncio.wait_for(self._wake.wait(), wait_s)
            except TimeoutError:
                continue

    async def _answer(
        self, request: http_server.HttpRequest, reply: serving.Reply
    ) -> None:
        self.model.leaving = self.stand_in.faults.leaving
        try:
            match request.method, request.path:
                case "POST", runner_api.COMPLETIONS_PATH:
                    call = _completion_decoder.decode(request.body)
                    await self._complete(call, reply)
                case "POST", runner_api.CANCEL_PATH:
                    await self._cancel(_cancel_decoder.decode(request.body), reply)
                case "POST", runner_api.IMPORT_PATH:
                    await self._import(_import_decoder.decode(request.body), reply)
                case "GET", runner_api.LOAD_PATH:
                    load = self.model.load(time.monotonic())
                    await reply.send(200, _encode(load))
                case "GET", runner_api.CACHE_EVENTS_PATH:
                    since = int(request.query.get("since", "0"))
                    events = self.model.cache_events(since, time.monotonic())
                    await reply.send(200, _encode(events))
                case "GET", runner_api.DESIRED_MODEL_PATH:
                    await reply.send(200, _encode(self._desired))
                case "POST", runner_api.DESIRED_MODEL_PATH:
                    await self._set_desired_model(
                        _desired_decoder.decode(request.body), reply
                    )
                case _:
                    await reply.send(404, b"{}")
        except (ValueError, RecursionError):
            await reply.send(400, b"{}")

    async def _complete(
        self, call: runner_api.CompletionCall, reply: serving.Reply
    ) -> None:
        if self.model.knows(call.attempt_id):
            await reply.send(409, b"{}")
            return
        refusal = self._submit(call)
        if refusal is not None:
            self._refused.append(call.attempt_id)
            answer = runner_api.RefusalAnswer(refusal)
            await reply.send(STATUS_OF[refusal], _encode(answer))
            return
        self._started.append(call.attempt_id)
        queue: ProgressQueue = asyncio.Queue()
        self._progress_queues[call.attempt_id] = queue
        self._wake.set()
        try:
            await reply.start_stream()
            await self._stream(call, queue, reply)
        finally:
            del self._progress_queues[call.attempt_id]

    def _submit(
        self, call: runner_api.CompletionCall
    ) -> runner_api.RefusalReason | None:
        if self.stand_in.faults.refuse:
            return runner_api.RefusalReason(self.stand_in.faults.refuse)
        elsewhere_tokens = min(sum(call.group_tokens), call.prompt_tokens)
        job = runner_model.Job(
            attempt_id=call.attempt_id,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            priority=call.priority,
            block_hashes=call.block_hashes,
            resume_offset=call.resume_offset,
            held_elsewhere_tokens=elsewhere_tokens,
        )
        return self.model.submit(job, time.monotonic()).err()

    async def _stream(
        self,
        call: runner_api.CompletionCall,
        queue: ProgressQueue,
        reply: serving.Reply,
    ) -> None:
        faults = self.stand_in.faults
        prompt = call.prompt.removesuffix(call.resume_text)
        delayed_events: list[bytes] = []
        while True:
            progress = await queue.get()
            if progress is None:
                # The stream of a cancelled answer ends without a done event.
                await reply.finish()
                return
            if self.stand_in.draw_fault(faults.cut_streams):
                reply.abort()
            events = [_event(call.attempt_id, prompt, progress)]
            if not progress.finished and self.stand_in.draw_fault(faults.mix_parts):
                events = self._mix_parts(events[0], prompt, progress, delayed_events)
            elif delayed_events:
                events += delayed_events
                delayed_events = []
            await reply.write(b"".join(events))
            if progress.finished:
                await reply.write(sse.encode(runner_api.DONE_DATA))
                await reply.finish()
                return

    def _mix_parts(
        self,
        event: bytes,
        prompt: str,
        progress: runner_model.Progress,
        delayed_events: list[bytes],
    ) -> list[bytes]:
        """Repeat a part, delay it, or insert a part of another attempt."""
        match self.stand_in.rng.randrange(3):
            case 0:
                return [event, event]
            case 1:
                delayed_events.append(event)
                return []
            case _:
                return [_event("req-other.1", f"not {prompt}", progress), event]

    async def _cancel(self, call: runner_api.CancelCall, reply: serving.Reply) -> None:
        if self.stand_in.draw_fault(self.stand_in.faults.lose_cancels):
            reply.abort()
        state = self.model.cancel(call.attempt_id, time.monotonic())
        queue = self._progress_queues.get(call.attempt_id)
        if queue is not None:
            queue.put_nowait(None)
        await reply.send(200, _encode(runner_api.CancelAnswer(call.attempt_id, state)))

    async def _import(self, call: runner_api.ImportCall, reply: serving.Reply) -> None:
        accepted = self.model.import_kv(call.attempt_id, call.tokens, time.monotonic())
        match accepted:
            case Err(reason):
                refusal = runner_api.RefusalAnswer(reason)
                await reply.send(STATUS_OF[reason], _encode(refusal))
            case Ok(tokens):
                self._imported.append(call.attempt_id)
                faults = self.stand_in.faults
                if self.stand_in.draw_fault(faults.lose_import_replies):
                    await self.stand_in.lose_reply(reply)
                answer = runner_api.ImportAnswer(call.attempt_id, tokens)
                await reply.send(200, _encode(answer))

    async def _set_desired_model(
        self, call: runner_api.DesiredModelCall, reply: serving.Reply
    ) -> None:
        is_stale = call.fencing_number < self._desired.fencing_number
        accepted = not (is_stale and self._checks_fencing)
        self._orders.append((call.fencing_number, call.model, accepted))
        if accepted:
            self._desired = runner_api.DesiredModelAnswer(
                call.fencing_number, call.model
            )
        if self.stand_in.draw_fault(self.stand_in.faults.lose_replies):
            await self.stand_in.lose_reply(reply)
        await reply.send(200 if accepted else 409, _encode(self._desired))


def _event(attempt_id: str, prompt: str, progress: runner_model.Progress) -> bytes:
    part = runner_api.CompletionPart(
        attempt_id=attempt_id,
        offset=progress.offset,
        token_count=progress.token_count,
        text=answers.answer_text(prompt, progress.offset, progress.token_count),
        finish_reason="length" if progress.finished else "",
    )
    return sse.encode(_encode(part))


def main() -> None:
    """Run the stand-in as a process."""
    parser = serving.parser("runner")
    parser.add_argument("--runner-id", required=True)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--model", default="")
    parser.add_argument("--prefill-tokens-per-s", type=float, default=10_000)
    parser.add_argument("--decode-step-s", type=float, default=0.02)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--kv-capacity-tokens", type=int, default=400_000)
    parser.add_argument("--load-lag-s", type=float, default=1.0)
    asyncio.run(_run(parser.parse_args()))


async def _run(arguments: argparse.Namespace) -> None:
    config = runner_model.RunnerConfig(
        runner_id=arguments.runner_id,
        prefill_tokens_per_s=arguments.prefill_tokens_per_s,
        decode_step_s=arguments.decode_step_s,
        max_batch=arguments.max_batch,
        kv_capacity_tokens=arguments.kv_capacity_tokens,
        load_lag_s=arguments.load_lag_s,
    )
    service = RunnerService(
        config, arguments.checks_fencing, arguments.model, arguments.seed
    )
    service.start()
    await serving.serve(service.stand_in, arguments)
    await service.close()


if __name__ == "__main__":
    main()
