"""Simulates one trace under one dispatch policy in virtual time.

The engines are instances of the in-process engine model, and the daemons
decide on load reports that lag behind the engines. The simulation includes
the delays between data centres and between load polls; it models no other
part of a cluster.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from result import Ok

from lacewingdrum_coordination import prefixes
from lacewingdrum_protocol import runner_api
from lacewingdrum_state import fleet, ids, requests
from standins import (
    replay_daemons,
    replay_plan,
    replay_policies,
    runner_model,
    traces,
)

POLL_INTERVAL_S = 1.0
LOCAL_DELAY_S = 0.0005
GROUP_ATTEMPTS_MAX = 4
ADDRESS = fleet.Address("127.0.0.1", 1)

Plan = replay_plan.Plan
RequestOutcome = replay_plan.RequestOutcome


@dataclasses.dataclass(slots=True)
class _Attempt:
    outcome: RequestOutcome
    daemon: int
    in_flight: requests.InFlightAttempt
    group: tuple[tuple[ids.RunnerId, int], ...]
    is_open: bool = True


class Replay:
    """A discrete-event simulation of one plan."""

    def __init__(self, plan: Plan) -> None:
        """Create the runners and daemons, all idle.

        Args:
            plan: What is replayed, and under which policy.
        """
        header = plan.trace.header
        self._plan = plan
        self._header = header
        self._rng = random.Random(plan.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()
        self._runners = tuple(
            fleet.Runner(
                ids.RunnerId(f"r{number:02d}"),
                ids.ServiceName(header.service),
                self._data_centre(number),
                ADDRESS,
                ids.Incarnation(1),
            )
            for number in range(header.runner_count)
        )
        self.engines = {
            runner.runner_id: runner_model.RunnerModel(
                runner_model.RunnerConfig(runner.runner_id), 0.0
            )
            for runner in self._runners
        }
        self._engine_event_numbers = dict.fromkeys(self.engines, 0)
        self._in_flight = replay_policies.InFlightCounts(tuple(self.engines))
        self._daemons = self._make_daemons()
        self._attempts: dict[str, _Attempt] = {}
        self._cache_seqs: dict[ids.RunnerId, int] = {}
        self._open_count = 0
        self.outcomes: list[RequestOutcome] = []

    def run(self) -> list[RequestOutcome]:
        """Replay the trace to its end.

        Returns:
            The outcome of each request, in order of arrival.
        """
        self._schedule_arrivals()
        for position, runner in enumerate(self._runners):
            first_s = POLL_INTERVAL_S * position / len(self._runners)
            self._schedule(first_s, self._poll_action(runner.runner_id))
        if self._plan.restart_every_s:
            self._schedule(self._plan.restart_every_s, self._restart_daemons)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            action(at_s)
        return self.outcomes

    def _make_daemons(self) -> list[replay_daemons.Dispatcher]:
        return [
            replay_daemons.make_dispatcher(
                self._plan,
                self._runners,
                self._in_flight,
                number,
                self._data_centre(number),
            )
            for number in range(self._header.daemon_count)
        ]

    def _restart_daemons(self, now_s: float) -> None:
        """Replace all daemons; attempts already sent continue to run."""
        if self._open_count:
            self._daemons = self._make_daemons()
            self._schedule(now_s + self._plan.restart_every_s, self._restart_daemons)

    def held_memory(self) -> dict[ids.RunnerId, dict[str, int]]:
        """Return the tokens that each engine still holds, by attempt."""
        return {runner_id: engine.held for runner_id, engine in self.engines.items()}

    def _schedule_arrivals(self) -> None:
        for index, row in enumerate(self._plan.trace.rows):
            kind = self._header.kinds[row.kind]
            if self._plan.without_long and row.prompt_tokens > 100_000:
                continue
            at_s = row.at_ms / 1000 / self._plan.load
            self.outcomes.append(
                RequestOutcome(row, at_s, at_s + kind.patience_ms / 1000)
            )
            self._open_count += 1
            self._schedule(at_s, self._arrival_action(index, self.outcomes[-1]))

    def _arrival_action(
        self, index: int, outcome: RequestOutcome
    ) -> Callable[[float], None]:
        daemon = self._rng.randrange(len(self._daemons))

        def arrive(now_s: float) -> None:
            request = self._make_request(index, outcome)
            refusing: frozenset[ids.RunnerId] = frozenset()
            for _ in range(GROUP_ATTEMPTS_MAX):
                choice = self._daemons[daemon].choose(request, now_s, refusing)
                if choice.runner_id is None:
                    self._close_request(outcome, choice.refusal)
                    return
                refusing_runner_id = self._import_group(index, choice.group, now_s)
                if refusing_runner_id is None:
                    self._send(index, daemon, outcome, request, choice, now_s)
                    return
                refusing |= {refusing_runner_id}
            self._close_request(outcome, "group_memory")

        return arrive

    def _make_request(self, index: int, outcome: RequestOutcome) -> requests.Request:
        row = outcome.row
        kind = self._header.kinds[row.kind]
        return requests.Request(
            ids.RequestId(str(index)),
            ids.ServiceName(self._header.service),
            ids.CustomerId(f"c{row.customer}"),
            ids.KindName(kind.name),
            row.prompt_tokens,
            row.answer_tokens,
            outcome.arrived_s,
            outcome.deadline_s,
            kind.worth,
            True,
            traces.block_hashes(self._plan.trace, index),
        )

    def _send(
        self,
        index: int,
        daemon: int,
        outcome: RequestOutcome,
        request: requests.Request,
        choice: replay_policies.Choice,
        now_s: float,
    ) -> None:
        assert choice.runner_id is not None
        attempt_id = _attempt_id(index)
        outcome.expected_complete_s = now_s + choice.expected_complete_s
        outcome.runner_id = choice.runner_id
        in_flight = requests.InFlightAttempt(
            attempt_id,
            choice.runner_id,
            request.prompt_tokens,
            request.total_tokens - sum(part for _, part in choice.group),
            now_s,
        )
        attempt = _Attempt(outcome, daemon, in_flight, choice.group)
        self._attempts[attempt_id] = attempt
        self._daemons[daemon].sent(request, in_flight)
        self._in_flight.counts[choice.runner_id] += 1
        job = runner_model.Job(
            attempt_id,
            request.prompt_tokens,
            request.max_tokens,
            choice.priority,
            request.block_hashes,
            0,
            sum(part for _, part in choice.group),
        )
        arrival_s = now_s + self._delay_s(daemon, choice.runner_id)
        self._schedule(arrival_s, self._delivery_action(attempt, job))
        self._schedule(outcome.deadline_s, self._deadline_action(attempt))

    def _import_group(
        self, index: int, group: tuple[tuple[ids.RunnerId, int], ...], now_s: float
    ) -> ids.RunnerId | None:
        """Import the parts of a prompt into the group's engines, all or none.

        Returns:
            The runner that refused its part, or None if all parts are held.
        """
        attempt_id = _attempt_id(index)
        held: list[ids.RunnerId] = []
        for runner_id, tokens in sorted(group):
            engine = self.engines[runner_id]
            if not isinstance(engine.import_kv(attempt_id, tokens, now_s), Ok):
                for holder in held:
                    self.engines[holder].cancel(attempt_id, now_s)
                return runner_id
            held.append(runner_id)
        return None

    def _delivery_action(
        self, attempt: _Attempt, job: runner_model.Job
    ) -> Callable[[float], None]:
        def deliver(now_s: float) -> None:
            engine = self.engines[attempt.in_flight.runner_id]
            if isinstance(engine.submit(job, now_s), Ok):
                self._schedule_engine_event(attempt.in_flight.runner_id)
                return
            self._end_attempt(attempt, now_s)
            self._close_request(attempt.outcome, "runner_refused")

        return deliver

    def _deadline_action(self, attempt: _Attempt) -> Callable[[float], None]:
        def expire(now_s: float) -> None:
            if not attempt.is_open:
                return
            runner_id = attempt.in_flight.runner_id
            self.engines[runner_id].cancel(attempt.in_flight.attempt_id, now_s)
            self._schedule_engine_event(runner_id)
            self._end_attempt(attempt, now_s)
            self._close_request(attempt.outcome, "")

        return expire

    def _schedule_engine_event(self, runner_id: ids.RunnerId) -> None:
        """Schedule the engine's next event in place of the previous one.

        The previous event stays in the queue, but does nothing, since
        its number is outdated.
        """
        self._engine_event_numbers[runner_id] += 1
        number = self._engine_event_numbers[runner_id]
        event_s = self.engines[runner_id].next_event_s()
        if event_s is None:
            return

        def advance_engine(now_s: float) -> None:
            if self._engine_event_numbers[runner_id] != number:
                return
            for progress in self.engines[runner_id].advance(now_s):
                self._on_progress(runner_id, progress)
            self._schedule_engine_event(runner_id)

        self._schedule(event_s, advance_engine)

    def _on_progress(
        self, runner_id: ids.RunnerId, progress: runner_model.Progress
    ) -> None:
        attempt = self._attempts.get(progress.attempt_id)
        if attempt is None or not attempt.is_open:
            return
        outcome = attempt.outcome
        received_s = progress.at_s + self._delay_s(attempt.daemon, runner_id)
        if outcome.first_token_s is None:
            outcome.first_token_s = received_s
        if progress.finished:
            if received_s <= outcome.deadline_s:
                outcome.finished_s = received_s
            self._end_attempt(attempt, progress.at_s)
            self._close_request(outcome, "")

    def _end_attempt(self, attempt: _Attempt, now_s: float) -> None:
        attempt.is_open = False
        in_flight = attempt.in_flight
        self._in_flight.counts[in_flight.runner_id] -= 1
        del self._attempts[in_flight.attempt_id]
        for holder, _ in attempt.group:
            self.engines[holder].cancel(in_flight.attempt_id, now_s)
            self._schedule_engine_event(holder)
        self._daemons[attempt.daemon].ended(in_flight, now_s)

    def _close_request(self, outcome: RequestOutcome, refusal: str) -> None:
        outcome.refusal = refusal
        self._open_count -= 1

    def _poll_action(self, runner_id: ids.RunnerId) -> Callable[[float], None]:
        """Return an action that polls a runner and reports to all daemons."""

        def poll(now_s: float) -> None:
            if not self._open_count:
                return
            answer = self.engines[runner_id].load(now_s)
            load = fleet.RunnerLoad(
                runner_id,
                now_s - answer.age_ms / 1000,
                answer.queued_short_tokens,
                answer.queued_mid_tokens,
                answer.queued_long_tokens,
                answer.running_count,
                answer.kv_used_tokens,
                answer.kv_capacity_tokens,
                answer.prefill_tokens_per_s,
                answer.decode_tokens_per_s,
            )
            changes = self._read_cache_changes(runner_id, now_s)
            self._schedule(
                now_s + self._header.link_delay_s, self._summary_action(load, changes)
            )
            self._schedule(now_s + POLL_INTERVAL_S, poll)

        return poll

    def _read_cache_changes(
        self, runner_id: ids.RunnerId, now_s: float
    ) -> tuple[prefixes.BlockChange, ...]:
        if self._plan.policy is not replay_policies.PolicyName.OURS:
            return ()
        since = self._cache_seqs.get(runner_id, 0)
        answer = self.engines[runner_id].cache_events(since, now_s)
        self._cache_seqs[runner_id] = answer.last_seq
        return tuple(
            prefixes.BlockChange(
                event.block_hash, event.change is runner_api.CacheChange.STORED
            )
            for event in answer.events
        )

    def _summary_action(
        self, load: fleet.RunnerLoad, changes: tuple[prefixes.BlockChange, ...]
    ) -> Callable[[float], None]:
        def broadcast(now_s: float) -> None:
            for daemon in self._daemons:
                daemon.observe(load)
                daemon.observe_cache(load.runner_id, changes)

        return broadcast

    def _data_centre(self, number: int) -> ids.DataCentre:
        names = self._header.data_centres
        return ids.DataCentre(names[number % len(names)])

    def _delay_s(self, daemon: int, runner_id: ids.RunnerId) -> float:
        runner_number = int(runner_id[1:])
        if self._data_centre(daemon) == self._data_centre(runner_number):
            return LOCAL_DELAY_S
        return self._header.link_delay_s

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))


def _attempt_id(index: int) -> ids.AttemptId:
    return ids.AttemptId(f"{index}.1")
