"""The composition root: creates and connects the components of a daemon."""

import logging
import random
import time

from lacewingdrum_coordination import customer_limits, retries, routing
from lacewingdrum_daemon import (
    attempt_executor,
    budget_sync,
    cache_monitor,
    caller_requests,
    completions,
    directory_cache,
    document_sync,
    fleet_sync,
    group_memory,
    in_flight_attempts,
    large_answers,
    load_monitor,
    membership_sync,
    operators,
    order_executor,
    peering,
    placement_controller,
    pressure,
    probes,
    readiness,
    request_handler,
    reservation_service,
    service_calls,
    service_orders,
    settings,
)
from lacewingdrum_protocol import document_text, peer_messages
from lacewingdrum_runtime import decision_log, loop_lag, metrics
from lacewingdrum_state import ids, units
from lacewingdrum_transport import (
    http_client,
    http_server,
    members_client,
    objects_client,
    peer_socket,
    runner_client,
    table_client,
)


class Components:
    """The components of a daemon, created but not started.

    Args:
        own_settings: the validated settings.
        logger: receives the decision lines.
    """

    def __init__(self, own_settings: settings.Settings, logger: logging.Logger) -> None:
        self.own_settings = own_settings
        self.clock = time.monotonic
        self.rng = random.Random()
        self.incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
        self.decisions = decision_log.DecisionLog(
            logger, self.clock, own_settings.limits.explain_lines
        )
        self.metrics = metrics.Metrics()
        self.lag = loop_lag.LoopLag(self.clock, self.decisions, self.metrics)
        self._make_clients()
        self._make_coordination()
        self._make_servers()

    def _make_clients(self) -> None:
        own_settings = self.own_settings
        timeout_s = own_settings.limits.platform_timeout_ms / units.MS_PER_S
        self.http = http_client.HttpClient(clock=self.clock)
        self.runners = runner_client.RunnerClient(self.http, self.clock)
        self.table = table_client.TableClient(
            self.http, own_settings.platform.table, timeout_s
        )
        self.members_list = members_client.MembersClient(
            self.http, own_settings.platform.members, timeout_s
        )
        self.socket = peer_socket.PeerSocket(
            own_settings.vm.vm_id, _curve_keys(own_settings.peers), self.clock
        )
        self.socket.on_unread = lambda reason: self.metrics.count(
            "peer_messages_unread", reason=reason.value
        )

    def _make_coordination(self) -> None:
        own_settings = self.own_settings
        self.router = routing.Router(own_settings.vm.data_centre, self.rng)
        self.in_flight = in_flight_attempts.InFlightAttempts(
            self.runners, self._on_attempt_ended
        )
        self.members = membership_sync.MembershipSync(
            self.members_list,
            own_settings.limits.members_poll_ms / units.MS_PER_S,
            self.clock,
        )
        self.peering = peering.Peering(
            self.socket,
            self.members,
            self._heartbeat,
            self.clock,
            period_s=own_settings.limits.heartbeat_ms / units.MS_PER_S,
        )
        self.fleet = fleet_sync.FleetSync(
            self.members, self.router, self.peering, self.clock
        )
        self.documents = document_sync.DocumentSync(
            self.table,
            self.peering,
            document_text.parse,
            self.clock,
            vm_id=own_settings.vm.vm_id,
            members=self.members,
            rng=self.rng,
        )
        self.loads = load_monitor.LoadMonitor(
            self.runners,
            self.peering,
            self.members,
            (own_settings.vm.vm_id, own_settings.vm.data_centre),
            self.in_flight.entries,
            self.router.observe_load,
            self.clock,
        )
        self.caches = cache_monitor.CacheMonitor(
            self.runners,
            self.peering,
            self.members,
            (own_settings.vm.vm_id, own_settings.vm.data_centre),
            self.router.observe_cache,
            self.clock,
        )
        self.placement = placement_controller.PlacementController(
            self.table,
            self.runners,
            self.members,
            self.documents,
            own_settings.vm.vm_id,
            self.clock,
        )
        self.customer_limits = customer_limits.CustomerLimits()
        self.directory = directory_cache.DirectoryCache(
            self.documents, self.customer_limits
        )
        self.budget_sync = budget_sync.BudgetSync(
            self.customer_limits,
            self.peering,
            self.members,
            own_settings.vm.vm_id,
            self.directory.current,
            self.clock,
        )

    def _make_servers(self) -> None:
        own_settings = self.own_settings
        self.plain_service_calls = service_calls.ServiceCalls(
            self.http,
            self.members,
            self.in_flight,
            retries.RetryBudget(),
            self.decisions,
            self.clock,
            self.rng,
        )
        objects = objects_client.ObjectsClient(
            self.http,
            own_settings.platform.objects,
            own_settings.limits.platform_timeout_ms / units.MS_PER_S,
        )
        self.orders = service_orders.ServiceOrders(
            self.plain_service_calls,
            order_executor.OrderExecutor(self.table, self.clock),
            large_answers.LargeAnswerStore(objects),
            self.decisions,
        )
        self.readiness = readiness.Readiness(
            lambda: self.fleet.knows_fleet,
            self._knows_documents,
            self.documents.may_admit,
        )
        health = probes.Probes(self.readiness.not_ready_reason, self.metrics)
        request_parser = caller_requests.RequestParser(
            self.directory.current, self.customer_limits, self.clock
        )
        caller_handler = request_handler.RequestHandler(
            self.readiness,
            health,
            request_parser,
            self._make_completions(),
            self.plain_service_calls,
            self.orders,
            self.decisions,
            self.metrics,
            self.clock,
        )
        operator_handler = operators.OperatorHandler(
            self.documents,
            lambda: self.members.view,
            self.decisions,
            self.peering,
            own_settings,
            health,
            self.clock,
        )
        self.callers_server = http_server.HttpServer(
            caller_handler.handle,
            _server_limits(own_settings.limits, own_settings.limits.connections),
        )
        self.operators_server = http_server.HttpServer(
            operator_handler.handle,
            _server_limits(
                own_settings.limits, own_settings.limits.operator_connections
            ),
        )
        self.metrics.gauge("loop_lag_seconds", lambda: self.lag.lag_s)
        self.metrics.gauge("in_flight", lambda: len(self.in_flight.entries()))
        self.metrics.gauge("connections", lambda: self.callers_server.connection_count)

    def _make_completions(self) -> completions.Completions:
        load_meter = pressure.LoadMeter(
            self.router,
            self.lag,
            self.members,
            lambda: self.callers_server.busy_count,
            self.own_settings.limits.streams,
            self.clock,
        )
        reservations = reservation_service.ReservationService(
            self.peering,
            self.members,
            (self.own_settings.vm.vm_id, self.own_settings.vm.data_centre),
            self.router.free_tokens,
            self.clock,
        )
        groups = group_memory.GroupMemory(
            self.runners, self.in_flight, reservations, self.clock, self.rng
        )
        executor = attempt_executor.AttemptExecutor(
            self.runners, self.members, self.metrics, self.clock
        )
        return completions.Completions(
            self.router,
            executor,
            self.in_flight,
            groups,
            retries.RetryBudget(),
            self.decisions,
            load_meter,
            self.clock,
            self.rng,
        )

    def _knows_documents(self) -> bool:
        # Without any document, every credential would be rejected as unknown.
        return self.documents.ready() and bool(self.documents.services())

    def _on_attempt_ended(self, attempt_id: ids.AttemptId) -> None:
        self.router.ended(attempt_id, self.clock())

    def _heartbeat(self) -> peer_messages.Heartbeat:
        return peer_messages.Heartbeat(
            incarnation=self.incarnation,
            data_centre=self.own_settings.vm.data_centre,
            leaving=self.readiness.is_leaving,
            documents=self.documents.digests(),
            gone_runners=self.members.gone_runners(),
        )


def _server_limits(
    section: settings.LimitsSettings, connections: int
) -> http_server.ServerLimits:
    return http_server.ServerLimits(
        header_bytes=section.header_bytes,
        body_bytes=section.body_bytes,
        connections=connections,
        header_timeout_s=section.header_timeout_ms / units.MS_PER_S,
        body_timeout_s=section.body_timeout_ms / units.MS_PER_S,
        idle_timeout_s=section.idle_timeout_ms / units.MS_PER_S,
        write_timeout_s=section.write_timeout_ms / units.MS_PER_S,
    )


def _curve_keys(section: settings.PeersSettings) -> peer_socket.CurveKeys | None:
    if not section.curve_public_key:
        return None
    return peer_socket.CurveKeys(
        section.curve_public_key,
        section.curve_secret_key,
        section.allowed_public_keys,
    )
