"""Puts requests off, or refuses them, while a service is short of room."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from lacewingdrum_coordination import (
    customer_shares,
    least_share,
    promised_returns,
    short_room,
    usual_patience,
    waiting_requests,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.serving import active_request, plans, room_log
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids

# How often some daemon of all lets a waiting request go on. Reports of work
# take about as long, so that the next daemon sees what the one before did.
CHECK_INTERVAL_S = 0.02
CHECK_INTERVAL_MAX_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal, the time to come back in, and the fields of its log line."""

    retry_s: float
    fields: dict[str, object]


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What this daemon knows of the requests for one service."""

    waiting: waiting_requests.WaitingRequests
    returns: promised_returns.PromisedReturns
    least: least_share.LeastShare


class RoomControl:
    """Decides for each request, and holds those that wait for room.

    ``body_bytes_max`` bounds the bodies of the requests that wait, of each
    service.
    """

    def __init__(
        self,
        shares: customer_shares.CustomerShares,
        peers: peer_table.PeerTable,
        body_bytes_max: int,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._shares = shares
        self._peers = peers
        self._body_bytes_max = body_bytes_max
        self._clock = clock
        self._rng = rng
        self._log = room_log.RoomLog(shares, clock, decisions, counts)
        self._patience = usual_patience.UsualPatience()
        self._services: dict[ids.ServiceName, _ServiceState] = {}
        self._wakers: dict[int, asyncio.Future[bool]] = {}
        self._turn_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        counts.gauge("waiting_requests", lambda: float(len(self._wakers)))

    def over_share(self, active: active_request.ActiveRequest) -> str:
        """Return the hash of the customer if over its share, or empty."""
        customer = active.routed.customer_digest
        if customer and self._shares.share(customer, self._clock()).is_over:
            return customer
        return ""

    def decide(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
    ) -> short_room.Proceed | short_room.PutOff | Refusal:
        """Decide whether a request goes on, waits or is refused.

        Args:
            active: the request.
            planned: what it would do now.

        Returns:
            The decision; a request that may have run goes on.
        """
        plan = planned.plan if isinstance(planned, plans.TooCostly) else planned
        if active.may_have_run or not plan.work:
            return short_room.Proceed()
        now_s = self._clock()
        if active.has_returned is None:
            active.has_returned = self._patience.has_returned(
                active.routed.route.name, active.routed.caller_headers.patience_ms
            )
        state = self._state(active.routed.service.name)
        engine_count = self._engine_count(plan)
        asking = self._asking(active, planned, plan, now_s)
        decision = short_room.decide(
            asking,
            state.waiting.has_before(
                self._order(active, asking.is_over_share, asking.is_late)
            ),
            state.least.has_any(engine_count, now_s),
            now_s,
        )
        match decision:
            case short_room.Refuse(reason):
                return self._refuse(active, planned, reason)
            case short_room.PutOff() if active.put_off_until_s is None:
                self._log.record_put_off(active, planned, decision)
            case short_room.Proceed(uses_least_share=True):
                state.least.use(plan.prefill_ms)
        return decision

    async def wait(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        put_off: short_room.PutOff,
    ) -> None:
        """Wait until it is a request's turn to ask for room again.

        Args:
            active: the request.
            planned: what it would have done.
            put_off: the decision, with the end of the wait.
        """
        plan = planned.plan if isinstance(planned, plans.TooCostly) else planned
        started_s = self._clock()
        active.put_off_until_s = put_off.until_s
        state = self._state(active.routed.service.name)
        queue = state.waiting
        entry = waiting_requests.Waiting(
            self._order(
                active,
                bool(self.over_share(active)),
                put_off.reason is short_room.Reason.IN_TIME_FIRST,
            ),
            put_off.until_s,
            len(active.outgoing.body),
            plan.prefill_ms,
        )
        turn = asyncio.get_running_loop().create_future()
        self._wakers[id(entry)] = turn
        for dropped in queue.add(entry):
            self._wake(dropped, has_place=False)
        self._schedule()
        try:
            if not await turn:
                # It has no place: it may wait no longer.
                active.put_off_until_s = started_s
        finally:
            queue.remove(entry)
            self._wakers.pop(id(entry), None)
            active.put_off_s += self._clock() - started_s

    def _asking(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        plan: plans.Plan,
        now_s: float,
    ) -> short_room.Asking:
        routed = active.routed
        elapsed_ms = (now_s - routed.received_s) * 1_000
        give_up_ms = short_room.give_up_ms(
            routed.objective_ms, routed.route.pause_objective_ms
        )
        return short_room.Asking(
            first_event_ms=plan.first_event_ms,
            objective_left_ms=routed.objective_ms - elapsed_ms,
            give_up_left_ms=min(give_up_ms - elapsed_ms, active.left_s(now_s) * 1_000),
            is_too_costly=isinstance(planned, plans.TooCostly),
            costs_urgent=plan.costs_urgent,
            is_over_share=bool(self.over_share(active)),
            may_wait=not (active.is_relayed or active.is_trial or active.attempt_count),
            put_off_until_s=active.put_off_until_s,
            room=plan.room,
        )

    def _refuse(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        reason: short_room.Reason,
    ) -> Refusal:
        """Return a refusal, with a promise of when there will be room."""
        now_s = self._clock()
        routed = active.routed
        plan = planned.plan if isinstance(planned, plans.TooCostly) else planned
        state = self._state(routed.service.name)
        is_over_share = bool(self.over_share(active))
        order = self._order(active, is_over_share, is_late=True)
        elapsed_ms = (now_s - routed.received_s) * 1_000
        late_ms = plan.first_event_ms - (routed.objective_ms - elapsed_ms)
        retry_s = state.returns.promise(
            routed.rank,
            plan.prefill_ms,
            max(late_ms, routed.objective_ms / 2),
            state.waiting.work_before_ms(order),
            self._engine_count(plan),
            now_s,
            self._rng,
        )
        self._shares.record(routed.customer_digest, plan.prefill_ms, now_s)
        return Refusal(retry_s, self._log.refusal_fields(active, planned, reason))

    def _order(
        self,
        active: active_request.ActiveRequest,
        is_over_share: bool,
        is_late: bool,
    ) -> waiting_requests.Order:
        routed = active.routed
        return waiting_requests.Order(
            routed.rank,
            is_over_share,
            is_late,
            routed.objective_ms,
            not active.has_returned,
            routed.received_s,
        )

    def _engine_count(self, plan: plans.Plan) -> float:
        """Return this daemon's share of the engines of a service."""
        return plan.candidate_count / max(self._peers.daemon_count, 1)

    def _state(self, service: ids.ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(
                waiting_requests.WaitingRequests(self._body_bytes_max),
                promised_returns.PromisedReturns(),
                least_share.LeastShare(),
            )
        return state

    def _schedule(self) -> None:
        """Look again when some request's turn comes, or a wait ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._wakers:
            return
        now_s = self._clock()
        if self._turn_s is None:
            interval_s = CHECK_INTERVAL_S * max(self._peers.daemon_count, 1)
            interval_s = min(interval_s, CHECK_INTERVAL_MAX_S)
            self._turn_s = now_s + interval_s * (0.5 + self._rng.random())
        ends_s = (queue.next_end_s() for queue in self._queues())
        due_s = min(self._turn_s, *ends_s)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(due_s - now_s, 0.0), self._check)

    def _check(self) -> None:
        """Let those ask whose wait is over, and on a turn the first ones."""
        now_s = self._clock()
        is_turn = self._turn_s is not None and self._turn_s <= now_s
        if is_turn:
            self._turn_s = None
        for queue in self._queues():
            woken = queue.take_ended(now_s)
            if is_turn:
                woken += queue.take_first()
            for entry in woken:
                self._wake(entry, has_place=True)
        self._schedule()

    def _queues(self) -> list[waiting_requests.WaitingRequests]:
        return [state.waiting for state in self._services.values()]

    def _wake(self, entry: waiting_requests.Waiting, has_place: bool) -> None:
        turn = self._wakers.get(id(entry))
        if turn is not None and not turn.done():
            turn.set_result(has_place)
