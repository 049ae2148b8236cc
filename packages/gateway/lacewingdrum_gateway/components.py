"""The composition root of the gateway: creates and connects its components."""

import logging
import time

from lacewingdrum_coordination import retry_allowance, route_table
from lacewingdrum_gateway import fleet_components, server_limits, settings
from lacewingdrum_gateway.runners import engine_memory, runner_candidates
from lacewingdrum_gateway.serving import (
    answer_memory,
    attempt,
    attempt_log,
    exchange,
    final_answers,
    forwarding,
    lost_runners,
    relay,
    request_handler,
    retry_permits,
    room_control,
    routing,
    silence_limits,
    silence_watch,
    stream_forwarding,
)
from lacewingdrum_runtime import loop_lag, metrics
from lacewingdrum_transport import (
    connector,
    http_client,
    http_messages,
    http_server,
    responder,
)

PEER_CONNECT_TIMEOUT_S = 0.5
PEER_UNACKNOWLEDGED_MAX_MS = 1_200
PEER_IDLE_S = 4.0
ANSWER_MEMORY_SHARE = 0.15
WAITING_BODY_MEMORY_SHARE = 0.15


class Components(fleet_components.FleetComponents):
    """All components of a gateway: those of the fleet and the serving ones.

    Args:
        own_settings: the validated settings.
        logger: receives the decision log.
        connect_to_runners: opens connections to runners.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        logger: logging.Logger,
        connect_to_runners: connector.Connect = connector.connect,
    ) -> None:
        super().__init__(own_settings, logger, connect_to_runners)
        clock, rng, table = self.clock, self.rng, self.peer_table
        self.lag = loop_lag.LoopLag(time.monotonic, self.decisions, self.counts)
        self.memory = engine_memory.EngineMemory(
            self.runner_client,
            self.notices,
            self.roster,
            own_settings.bounds.lease_max_ms,
            own_settings.bounds.memory_unused_max_ms,
            clock,
            self.decisions,
            self.counts,
        )
        answers = answer_memory.AnswerMemory(
            int(
                own_settings.limits.memory_mb
                * server_limits.BYTES_PER_MB
                * ANSWER_MEMORY_SHARE
            )
        )
        sender = attempt.AttemptSender(
            self.runner_client,
            self.health,
            self.reach,
            self.notices,
            self.work_sync,
            answers,
            clock,
            self.decisions,
            self.counts,
        )
        candidates = runner_candidates.RunnerCandidates(
            self.roster,
            self.health,
            self.limit_sync.limits,
            self.cold_sync.limits,
            table,
            own_settings.vm.data_centre,
            clock,
            self.evacuation_sync.register,
        )
        planner = routing.Planner(
            candidates,
            self.engine_work,
            self.work_sync,
            clock,
            rng,
            table,
            own_settings.serving.waits_for_room,
        )
        attempt_records = attempt_log.AttemptLog(
            self.roster, clock, self.decisions, self.counts
        )
        silences = silence_watch.SilenceWatch(
            sender,
            silence_limits.SilenceLimits(planner),
            self.health,
            attempt_records,
            clock,
        )
        streams = stream_forwarding.StreamForwarder(
            sender,
            planner,
            self.memory,
            answers,
            self.crash_watch,
            self.work_sync,
            clock,
        )
        permits = retry_permits.RetryPermits(
            retry_allowance.RetryAllowance(
                own_settings.bounds.repeat_ratio,
                own_settings.bounds.repeat_slack,
                own_settings.bounds.repeat_window_s,
            ),
            table,
            clock,
            self.decisions,
            self.counts,
        )
        answers_without_runner = final_answers.FinalAnswers(
            candidates, self.crash_watch, clock, rng, self.decisions, self.counts
        )
        self.peer_client = http_client.HttpClient(
            http_client.ClientLimits(
                idle_s=PEER_IDLE_S,
                connect_timeout_s=PEER_CONNECT_TIMEOUT_S,
                unacknowledged_limit_ms=PEER_UNACKNOWLEDGED_MAX_MS,
            ),
            clock,
        )
        self.relay = relay.Relay(
            self.peer_client,
            self.peers,
            self.reach,
            self.configurations,
            streams,
            answers,
            clock,
            rng,
            self.decisions,
            self.counts,
        )
        forwarder = forwarding.Forwarder(
            sender,
            planner,
            exchange.Exchange(
                sender,
                planner,
                streams,
                self.memory,
                answers,
                self.work_sync,
                self.work_ids,
                clock,
            ),
            self.relay,
            self.reach,
            silences,
            permits,
            self.work_sync,
            self.health,
            lost_runners.LostRunners(
                self.roster, self.health, self.reach, connect_to_runners
            ),
            self.crash_watch,
            answers_without_runner,
            self._room_control() if own_settings.serving.waits_for_room else None,
            attempt_records,
            clock,
        )
        self.request_handler = request_handler.RequestHandler(
            self.configurations,
            lambda: self.knows_fleet,
            forwarder,
            answers_without_runner,
            clock,
            self.decisions,
            self.counts,
        )
        limits = own_settings.limits
        self.callers_server = http_server.HttpServer(
            self.request_handler.handle, server_limits.for_callers(limits, None), clock
        )
        self.relay_server = http_server.HttpServer(
            self.request_handler.handle_relayed,
            server_limits.for_daemons(limits, None),
            clock,
        )
        self.ready_server = http_server.HttpServer(self._serve_readiness, clock=clock)
        self.metrics_server = http_server.HttpServer(self._serve_metrics, clock=clock)
        self.is_leaving = False
        self.configurations.on_applied(self._on_configuration_applied)
        self.work_sync.on_peer_suspicion(self.probe.probe_now)
        self.crash_watch.on_blamed(self._on_part_blamed)
        self.reach.on_silence(forwarder.record_lost_paths)
        self.peers.on_peer_lost(self.relay.close_idle_connections)
        self.peers.on_peer_lost(forwarder.record_lost_peer)
        self.runner_list.on_born_again(forwarder.record_born_again)
        self.reach.on_change(self.peers.announce)
        self.peers.set_relay_port_source(self._relay_port)

    def _room_control(self) -> room_control.RoomControl:
        memory_bytes = self.own_settings.limits.memory_mb * server_limits.BYTES_PER_MB
        return room_control.RoomControl(
            self.work_sync.shares,
            self.peer_table,
            int(memory_bytes * WAITING_BODY_MEMORY_SHARE),
            self.clock,
            self.rng,
            self.decisions,
            self.counts,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        return self.is_synchronized and not self.is_leaving

    @property
    def is_synchronized(self) -> bool:
        """Whether this daemon knows what it needs to serve requests."""
        known = self.configurations.table is not None and self.knows_fleet
        return known and self.work_sync.is_initial_sync_done

    @property
    def knows_fleet(self) -> bool:
        """Whether this daemon knows the runners and where work may begin."""
        return self.runner_list.is_known and self.evacuation_sync.is_known

    def _on_configuration_applied(self, table: route_table.RouteTable) -> None:
        limits = self.own_settings.limits
        self.callers_server.set_limits(server_limits.for_callers(limits, table))
        self.relay_server.set_limits(server_limits.for_daemons(limits, table))
        self.roster.set_services(table.services)
        self.cold_sync.set_services(table.configuration.services)

    def _relay_port(self) -> int:
        """Return where this daemon takes requests of others, or 0."""
        takes_requests = self.is_synchronized and not self.reach.is_cut_off
        return self.own_settings.vm.bound_relay_port if takes_requests else 0

    def _on_part_blamed(self) -> None:
        self.request_handler.end_blamed(
            lambda active: self.crash_watch.find_blame(active) is not None
        )

    async def _serve_readiness(
        self, request: http_messages.HttpRequest, answer: responder.Responder
    ) -> None:
        del request
        status = 200 if self.is_ready else 503
        await answer.send(http_messages.HttpResponse(status))

    async def _serve_metrics(
        self, request: http_messages.HttpRequest, answer: responder.Responder
    ) -> None:
        del request
        headers = (("Content-Type", metrics.CONTENT_TYPE),)
        text = self.counts.text().encode()
        await answer.send(http_messages.HttpResponse(200, headers, text))
