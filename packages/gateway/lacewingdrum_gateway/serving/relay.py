"""Passes requests on to a peer while this daemon is cut off from all runners.

The peer serves such a request like one of its own callers, with its own
attempts, retries and limits, and never passes it on again. Its answer is
forwarded as it is.
"""

import contextlib
import random
from collections.abc import Callable

from result import Err

from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import reach_monitor
from lacewingdrum_gateway.serving import (
    active_request,
    answer_memory,
    attempt as attempts,
    attempt_ends,
    attempt_race,
    open_attempt,
    outcomes,
    stream_forwarding,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import addresses, configurations, fleet, ids, states
from lacewingdrum_transport import http_client, http_messages

# A request that a peer could not serve either goes to so many peers in all.
PEERS_MAX = 2


class Relay:
    """Chooses peers that reach runners and forwards their answers."""

    def __init__(
        self,
        client: http_client.HttpClient,
        peers: peering.Peering,
        reach: reach_monitor.ReachMonitor,
        configurations: configuration_sync.ConfigurationSync,
        streams: stream_forwarding.StreamForwarder,
        answers: answer_memory.AnswerMemory,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._client = client
        self._peers = peers
        self._reach = reach
        self._configurations = configurations
        self._streams = streams
        self._answers = answers
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._counts = counts

    def pick_peer(self, active: active_request.ActiveRequest) -> peering.Peer | None:
        """Return the peer that a request is to be passed on to, or None.

        It reaches runners. One that stays is preferred, then one whose
        configuration is not older than this daemon's, then a near one.
        """
        if not self._reach.is_cut_off or active.is_relayed:
            return None
        if active.may_have_run and not active.routed.route.is_retryable:
            return None
        if len(active.relayed_to) >= PEERS_MAX:
            return None
        table = self._peers.table
        candidates = [
            peer
            for peer in table.live
            if peer.relay_port and peer.address not in active.relayed_to
        ]
        if not candidates:
            return None
        best = min(map(self._drawbacks, candidates))
        return self._rng.choice(
            [peer for peer in candidates if self._drawbacks(peer) == best]
        )

    def _drawbacks(self, peer: peering.Peer) -> tuple[bool, bool, bool]:
        """Return what speaks against a peer, the gravest first."""
        is_older = peer.configuration_version < self._configurations.version
        is_far = self._peers.table.is_live_in_other_data_centre(peer)
        return peer.is_leaving, is_older, is_far

    def has_no_path(self, active: active_request.ActiveRequest) -> bool:
        """Return whether no attempt of this daemon can reach a runner.

        For a request that a peer has passed on, attempts are made all the
        same, because that peer has no path either.
        """
        return self._reach.is_cut_off and not active.is_relayed

    def new_attempt(
        self, active: active_request.ActiveRequest, peer: peering.Peer
    ) -> open_attempt.OpenAttempt:
        """Return the next attempt of a request, which ``run`` makes."""
        active.relayed_to.add(peer.address)
        self._decisions.record(
            decision_log.DecisionEvent.RELAYED,
            active.request_id,
            peer=peer.address,
            left_ms=round(active.left_s(self._clock()) * 1_000),
            may_have_run=active.may_have_run,
            last_event_id=active.events.last_event_id,
        )
        return active.new_attempt(open_attempt.PeerSource(peer), self._clock())

    async def run(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        peer: peering.Peer,
    ) -> attempt_race.Result:
        """Pass a request on and forward the answer.

        Returns:
            The outcome if the caller has an answer, else the end of this
            attempt.
        """
        left_s = active.left_s(self._clock())
        opened = await self._client.open(
            _relay_address(peer),
            active.outgoing.method,
            active.outgoing.target,
            platform_headers.relayed_request_headers(
                active.outgoing.headers,
                max(int(left_s * 1_000), 1),
                attempt.events.last_event_id,
                active.reached_runner_count(),
                active.routed.route_digest,
            ),
            active.outgoing.body,
            left_s,
            on_new_connection=not active.routed.route.is_retryable,
            on_send=attempt.record_send,
        )
        if isinstance(opened, Err):
            return attempt_ends.open_failure(opened.err_value)
        reader = opened.ok_value
        failure = _head_failure(active, reader)
        if failure is not None:
            await reader.close()
            return failure
        attempt.answer = reader
        is_stream = active.routed.route.kind is configurations.RouteKind.STREAM
        if is_stream and http_messages.is_success(reader.status):
            return await self._streams.forward(active, attempt, reader)
        return await self._forward_whole(active, attempt, reader)

    async def _forward_whole(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        reader: http_client.ResponseReader,
    ) -> attempt_race.Result:
        with contextlib.closing(self._answers.hold()) as held:
            left_s = active.left_s(self._clock())
            body = await attempts.read_whole(reader, left_s, held)
            if isinstance(body, Err):
                return body.err_value
            answer = http_messages.HttpResponse(
                reader.status, reader.headers, body.ok_value
            )
            ran = answer.header(http_messages.RAN_HEADER)
            if ran:
                return _peer_failure(active, answer, states.Ran(ran))
            if active.responder.started:
                return _NOT_CONTINUED
            if not http_messages.is_success(reader.status):
                return _runner_failure(answer)
            if not active.pass_on(attempt):
                return attempt_ends.superseded()
            await active.responder.send(answer)
        return outcomes.Outcome.ANSWERED

    def close_idle_connections(self, address: ids.VmId) -> None:
        """Close pooled connections to a peer that may have gone silent."""
        peer = self._peers.table.get(address)
        if peer is not None and peer.relay_port:
            self._client.close_idle(_relay_address(peer))

    def record_end(self, result: attempt_race.Result) -> None:
        """Count how an attempt at a peer has ended."""
        match result:
            case attempt_ends.AttemptEnd():
                self._counts.count("relays", outcome=result.reason.value)
            case outcomes.Outcome():
                self._counts.count("relays", outcome=result.value)


def _relay_address(peer: peering.Peer) -> fleet.Address:
    address = addresses.parse_address(peer.address)
    assert address is not None
    return fleet.Address(address.host, peer.relay_port)


def _peer_failure(
    active: active_request.ActiveRequest,
    answer: http_messages.HttpResponse,
    ran: states.Ran,
) -> attempt_ends.AttemptEnd:
    """Return the end of an attempt that a peer itself has failed.

    Its answer is what the caller gets if no other peer serves the request. A
    peer that knows no route or customer has another configuration, so that
    its answer is not for the caller; nor is one that says that nothing has
    run, if an earlier attempt may have.
    """
    detail = f"status {answer.status} of a peer"
    if ran is not states.Ran.NO:
        unknown = states.AttemptState.UNKNOWN
        lost = attempt_ends.EndReason.LOST
        return attempt_ends.AttemptEnd(unknown, lost, detail, answer)
    is_for_caller = (
        answer.status == platform_headers.UNAVAILABLE_STATUS
        and not active.has_unknown_end
    )
    return attempt_ends.AttemptEnd(
        states.AttemptState.REFUSED_BY_RUNNER,
        attempt_ends.EndReason.REFUSED,
        detail,
        answer if is_for_caller else None,
    )


def _head_failure(
    active: active_request.ActiveRequest, reader: http_client.ResponseReader
) -> attempt_ends.AttemptEnd | None:
    """Return the end of an attempt whose answer is not to be forwarded."""
    headers = platform_headers.parse_runner_headers(reader.status, reader.headers)
    attempt_id = active.outgoing.attempt_id
    if http_messages.is_success(reader.status):
        return attempt_ends.head_failure(
            attempt_id, reader.status, headers, reader.is_first_on_connection
        )
    return attempt_ends.foreign_peer_answer(attempt_id, reader, headers.attempt_id)


def _runner_failure(answer: http_messages.HttpResponse) -> attempt_ends.AttemptEnd:
    """Return the end of an attempt that a runner has failed at a peer."""
    return attempt_ends.AttemptEnd(
        states.AttemptState.ANSWERED,
        attempt_ends.EndReason.FAILED_STATUS,
        f"status {answer.status} by a peer",
        answer,
    )


_NOT_CONTINUED = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt_ends.EndReason.FAILED_STATUS,
    "the peer did not continue the stream",
)
