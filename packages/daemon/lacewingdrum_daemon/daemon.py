"""The composition root: makes the parts of a daemon and wires them.

The order of ``start`` is the order in which parts need each other; a drain
and ``close`` go the other way.
"""

import asyncio
import logging
import random
import time

from lacewingdrum_coordination import customer_limits, retries, routing
from lacewingdrum_daemon import (
    attempt_runner,
    budget_keeper,
    cache_keeper,
    callers,
    completions,
    decision_log,
    directory_cache,
    document_keeper,
    group_memory,
    in_flight,
    large_answers,
    load_keeper,
    loop_lag,
    members_keeper,
    metrics,
    operators,
    order_calls,
    peering,
    placement_keeper,
    pressure,
    probes,
    reservation_keeper,
    service_calls,
    service_orders,
    settings,
    tasks,
)
from lacewingdrum_protocol import document_text, peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import (
    http_client,
    http_server,
    members_client,
    objects_client,
    peer_socket,
    runner_client,
    table_client,
)

MS_PER_S = 1000
FLEET_SYNC_S = 0.2
POLL_S = 0.05
CANCEL_GRACE_S = 2.0
ORDER_GRACE_S = 30.0


class Daemon:
    """One daemon. ``request_stop`` begins a stop; a second one cuts.

    Args:
        own: the checked settings.
        logger: takes the decision lines.
    """

    def __init__(self, own: settings.Settings, logger: logging.Logger) -> None:
        self._own = own
        self._clock = time.monotonic
        self._rng = random.Random()
        self._incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
        self.stop_requested = asyncio.Event()
        self._cut_requested = asyncio.Event()
        self._knows_fleet = False
        self._tasks = tasks.TaskSet()
        self._decisions = decision_log.DecisionLog(
            logger, self._clock, own.limits.explain_lines
        )
        self._figures = metrics.Metrics()
        self._lag = loop_lag.LoopLag(self._clock)
        self._make_clients()
        self._make_keepers()
        self._make_servers()

    def _make_clients(self) -> None:
        own = self._own
        timeout_s = own.limits.platform_timeout_ms / MS_PER_S
        self._http = http_client.HttpClient(clock=self._clock)
        self._runners = runner_client.RunnerClient(self._http, self._clock)
        self._table = table_client.TableClient(
            self._http, own.platform.table, timeout_s
        )
        self._members_list = members_client.MembersClient(
            self._http, own.platform.members, timeout_s
        )
        self._socket = peer_socket.PeerSocket(
            own.vm.vm_id, _curve_keys(own.peers), self._clock
        )

    def _make_keepers(self) -> None:
        own = self._own
        self._router = routing.Router(own.vm.data_centre, self._rng)
        self._in_flight = in_flight.InFlightTable(self._runners, self._attempt_ended)
        self._members = members_keeper.MembersKeeper(
            self._members_list, own.limits.members_poll_ms / MS_PER_S, self._clock
        )
        self._peering = peering.Peering(
            self._socket,
            self._members,
            self._heartbeat,
            self._clock,
            period_s=own.limits.heartbeat_ms / MS_PER_S,
        )
        self._documents = document_keeper.DocumentKeeper(
            self._table,
            self._peering,
            document_text.parse,
            self._clock,
            vm_id=own.vm.vm_id,
            members=self._members,
            rng=self._rng,
        )
        self._loads = load_keeper.LoadKeeper(
            self._runners,
            self._peering,
            self._members,
            (own.vm.vm_id, own.vm.data_centre),
            self._in_flight.entries,
            self._router.observe_load,
            self._clock,
        )
        self._caches = cache_keeper.CacheKeeper(
            self._runners,
            self._peering,
            self._members,
            (own.vm.vm_id, own.vm.data_centre),
            self._router.observe_cache,
            self._clock,
        )
        self._placement = placement_keeper.PlacementKeeper(
            self._table,
            self._runners,
            self._members,
            self._documents,
            own.vm.vm_id,
            self._clock,
        )
        self._budget = customer_limits.CustomerLimits()
        self._directory = directory_cache.DirectoryCache(self._documents, self._budget)
        self._budgets = budget_keeper.BudgetKeeper(
            self._budget,
            self._peering,
            self._members,
            own.vm.vm_id,
            self._directory.current,
            self._clock,
        )

    def _make_servers(self) -> None:
        own = self._own
        self._app_calls = service_calls.ServiceCalls(
            self._http,
            self._members,
            self._in_flight,
            retries.Budget(),
            self._decisions,
            self._clock,
            self._rng,
        )
        objects = objects_client.ObjectsClient(
            self._http,
            own.platform.objects,
            own.limits.platform_timeout_ms / MS_PER_S,
        )
        self._orders = service_orders.ServiceOrders(
            self._app_calls,
            order_calls.OrderCalls(self._table, self._clock),
            large_answers.LargeAnswers(objects),
            self._decisions,
        )
        self._gate = callers.Gate(
            lambda: self._knows_fleet, self._knows_documents, self._documents.may_admit
        )
        health = probes.Probes(self._gate.not_ready_reason, self._figures)
        edge = callers.Callers(
            self._directory.current,
            self._gate,
            health,
            self._make_completions(),
            self._app_calls,
            self._orders,
            self._budget,
            self._decisions,
            self._figures,
            self._clock,
        )
        desk = operators.Operators(
            self._documents,
            lambda: self._members.view.vms,
            self._decisions,
            self._peering,
            own,
            health,
            self._clock,
        )
        self._callers_server = http_server.HttpServer(
            edge.handle, _server_limits(own.limits, own.limits.connections)
        )
        self._operators_server = http_server.HttpServer(
            desk.handle, _server_limits(own.limits, own.limits.operator_connections)
        )
        self._figures.gauge("loop_lag_seconds", lambda: self._lag.lag_s)
        self._figures.gauge("in_flight", lambda: len(self._in_flight.entries()))
        self._figures.gauge(
            "connections", lambda: self._callers_server.connection_count
        )

    def _make_completions(self) -> completions.Completions:
        gauge = pressure.PressureGauge(
            self._router,
            self._lag,
            self._members,
            lambda: self._callers_server.busy_count,
            self._own.limits.streams,
            self._clock,
        )
        reservations = reservation_keeper.ReservationKeeper(
            self._peering,
            self._members,
            (self._own.vm.vm_id, self._own.vm.data_centre),
            self._router.free_tokens,
            self._clock,
        )
        groups = group_memory.GroupMemory(
            self._runners, self._in_flight, reservations, self._clock, self._rng
        )
        runner = attempt_runner.AttemptRunner(
            self._runners, self._members, self._figures, self._clock
        )
        return completions.Completions(
            self._router,
            runner,
            self._in_flight,
            groups,
            retries.Budget(),
            self._decisions,
            gauge,
            self._clock,
            self._rng,
        )

    async def start(self) -> None:
        """Start every part; callers are served once documents are known.

        Raises:
            OSError: when an address cannot be bound.
        """
        vm = self._own.vm
        await self._socket.start(vm.host, vm.peer_port)
        await self._callers_server.start(vm.host, vm.caller_port)
        await self._operators_server.start(vm.host, vm.operator_port)
        self._lag.start()
        self._members.start()
        self._peering.start()
        self._documents.start()
        self._loads.start()
        self._caches.start()
        self._placement.start()
        self._budgets.start()
        self._tasks.spawn(self._sync_fleet())
        self._decisions.record(decision_log.DecisionEvent.STARTED, None)

    def request_stop(self) -> None:
        """Begin a planned stop; asked again, end at once."""
        if self.stop_requested.is_set():
            self._cut_requested.set()
        self.stop_requested.set()

    async def drain(self) -> int:
        """Finish what is in progress, take nothing new, and close.

        Returns:
            How many requests were cut; 0 unless a second stop was asked.
        """
        self._gate.is_leaving = True
        self._peering.set_leaving()
        self._callers_server.set_leaving()
        self._decisions.record(decision_log.DecisionEvent.LEAVING, None)
        await self._wait_cut(self._own.limits.drain_notice_ms / MS_PER_S)
        self._callers_server.stop_accepting()
        while self._callers_server.busy_count and not self._cut_requested.is_set():
            await asyncio.sleep(POLL_S)
        cut_count = self._callers_server.busy_count
        event = decision_log.DecisionEvent.STOPPED
        if cut_count:
            event = decision_log.DecisionEvent.CUT
        self._decisions.record(event, None, cut_requests=cut_count)
        is_cut = self._cut_requested.is_set()
        await self.close(0.0 if is_cut else ORDER_GRACE_S)
        return cut_count

    async def close(self, grace_s: float) -> None:
        """Close every part, the last started first.

        Args:
            grace_s: how long orders and cancels may still take.
        """
        await self._callers_server.close()
        await self._orders.close(grace_s)
        await self._in_flight.close(min(grace_s, CANCEL_GRACE_S))
        await self._tasks.close()
        await self._budgets.close()
        await self._placement.close()
        await self._caches.close()
        await self._loads.close()
        await self._documents.close()
        await self._peering.close()
        await self._members.close()
        await self._lag.close()
        await self._operators_server.close()
        await self._socket.close()
        await self._http.close()

    async def _wait_cut(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._cut_requested.wait()
        except TimeoutError:
            return

    async def _sync_fleet(self) -> None:
        await self._members.wait_first()
        seen: tuple[fleet.Runner, ...] = ()
        while True:
            runners = self._members.view.runners
            if runners != seen:
                self._router.set_runners(runners)
                seen = runners
            self._knows_fleet = True
            await asyncio.sleep(FLEET_SYNC_S)

    def _knows_documents(self) -> bool:
        # Without any document every caller would be unknown, rightly or not.
        return self._documents.ready() and bool(self._documents.services())

    def _attempt_ended(self, attempt_id: ids.AttemptId) -> None:
        self._router.ended(attempt_id, self._clock())

    def _heartbeat(self) -> peer_messages.Heartbeat:
        return peer_messages.Heartbeat(
            incarnation=self._incarnation,
            data_centre=self._own.vm.data_centre,
            leaving=self._gate.is_leaving,
            documents=self._documents.digests(),
            gone_runners=self._members.gone_runners(),
        )


def _server_limits(
    found: settings.LimitsSettings, connections: int
) -> http_server.ServerLimits:
    return http_server.ServerLimits(
        header_bytes=found.header_bytes,
        body_bytes=found.body_bytes,
        connections=connections,
        header_timeout_s=found.header_timeout_ms / MS_PER_S,
        body_timeout_s=found.body_timeout_ms / MS_PER_S,
        idle_timeout_s=found.idle_timeout_ms / MS_PER_S,
        write_timeout_s=found.write_timeout_ms / MS_PER_S,
    )


def _curve_keys(found: settings.PeersSettings) -> peer_socket.CurveKeys | None:
    if not found.curve_public_key:
        return None
    return peer_socket.CurveKeys(
        found.curve_public_key,
        found.curve_secret_key,
        found.allowed_public_keys,
    )
