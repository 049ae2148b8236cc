"""What admission is told of the daemon's and the service's load."""

from collections.abc import Callable

from lacewingdrum_coordination import admission, membership, overload, routing
from lacewingdrum_daemon import attempt_runner, loop_lag, membership_sync
from lacewingdrum_state import ids, states


class PressureGauge:
    """Keeps each service's overload control.

    Args:
        router: knows what the runners can do and have to do.
        lag: the loop's own lateness.
        members: says how many daemons share the callers.
        open_streams: requests in progress here.
        stream_limit: how many may be.
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

    def read(self, call: attempt_runner.Call) -> admission.Pressure:
        """Count a call as offered, and say how hard it presses.

        Args:
            call: a request on its first attempt.

        Returns:
            What admission decides by.
        """
        now_s = self._clock()
        request = call.request
        control = self._controls.get(request.service)
        if control is None:
            control = self._controls[request.service] = overload.OverloadControl()
        verdict = control.evaluate(
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
            shed=verdict.shed,
            drain_s=verdict.drain_s,
        )

    def _daemon_count(self, now_s: float) -> int:
        live = membership.live_vms(self._members.view, now_s)
        taking = [vm for vm in live if vm.state is states.MemberState.LIVE]
        return max(1, len(taking))
