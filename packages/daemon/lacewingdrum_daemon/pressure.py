"""Measures the load of the daemon and its services for admission."""

from collections.abc import Callable

from lacewingdrum_coordination import admission, membership, overload, routing
from lacewingdrum_daemon import attempt_executor, membership_sync
from lacewingdrum_runtime import loop_lag
from lacewingdrum_state import ids, states


class LoadMeter:
    """Measures the load and updates each service's overload control.

    Args:
        router: provides the runners' prefill rate and backlog.
        lag: measures the lag of the event loop.
        members: the current VMs, for the number of daemons that share the
            callers' requests.
        open_streams: returns the number of requests in progress here.
        stream_limit: the maximum number of requests in progress.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        router: routing.Router,
        lag: loop_lag.LoopLag,
        members: membership_sync.MembershipSync,
        open_streams: Callable[[], int],
        stream_limit: int,
        clock: Callable[[], float],
    ) -> None:
        self._router = router
        self._lag = lag
        self._members = members
        self._open_streams = open_streams
        self._stream_limit = stream_limit
        self._clock = clock
        self._controls: dict[ids.ServiceName, overload.OverloadControl] = {}

    def observe_request(self, call: attempt_executor.ModelCall) -> admission.Pressure:
        """Count a call as offered load, and return the current load.

        Args:
            call: a model request before its first attempt.

        Returns:
            The measurements that admission is based on.
        """
        now_s = self._clock()
        request = call.request
        control = self._controls.get(request.service)
        if control is None:
            control = self._controls[request.service] = overload.OverloadControl()
        evaluation = control.evaluate(
            request,
            call.share,
            self._router.supply(request.service),
            self._daemon_count(now_s),
            now_s,
        )
        return admission.Pressure(
            loop_lag_s=self._lag.lag_s,
            open_streams=self._open_streams(),
            stream_limit=self._stream_limit,
            shed=evaluation.shed,
            drain_s=evaluation.drain_s,
        )

    def _daemon_count(self, now_s: float) -> int:
        live = membership.live_vms(self._members.view, now_s)
        admitting_vms = [vm for vm in live if vm.state is states.MemberState.LIVE]
        return max(1, len(admitting_vms))
