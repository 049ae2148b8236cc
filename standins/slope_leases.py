"""Measures the table rows per second of placement leases, against services."""

import asyncio
import time
from typing import Any

from result import Ok, Result

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import placement_controller
from lacewingdrum_protocol import runner_api
from lacewingdrum_state import documents, fleet, ids, states
from lacewingdrum_transport import runner_client
from standins import slope_fit, slope_fleet, slope_table

SERVICE_SIZES = (4, 8, 16)
RUNNERS_PER_SERVICE = 4
WARM_UP_S = 1.5
HOLD_DURATION_S = 7.5
MODEL = "model@1"

Measured = slope_fit.Measured


def leases() -> list[Measured]:
    """Return the table's rows for leases that one daemon holds."""
    counts_by_size = {size: asyncio.run(_hold(size)) for size in SERVICE_SIZES}
    measurements = []
    for index, name in enumerate(
        (
            "rows written a second for leases held, against services",
            "rows read a second for leases held, against services",
            "runners' states read a second, against services of 4 runners",
        )
    ):
        points = tuple(
            slope_fit.Point(size, counts_by_size[size][index] / HOLD_DURATION_S)
            for size in SERVICE_SIZES
        )
        measurements.append(Measured(name, "1/s", (points,)))
    return measurements


class _Runners:
    """Runners that serve the model that they are ordered to serve."""

    def __init__(self) -> None:
        self.read_count = 0
        self._served: dict[ids.RunnerId, runner_api.DesiredModelAnswer] = {}

    async def read_desired_model(
        self, runner: fleet.Runner, timeout_s: float
    ) -> Result[runner_api.DesiredModelAnswer, runner_client.RunnerError]:
        """Return the model that the runner serves."""
        self.read_count += 1
        nothing = runner_api.DesiredModelAnswer(0, "")
        return Ok(self._served.get(runner.runner_id, nothing))

    async def set_desired_model(
        self, runner: fleet.Runner, call: runner_api.DesiredModelCall, timeout_s: float
    ) -> Result[runner_api.DesiredModelAnswer, runner_client.RunnerError]:
        """Store and return the model that the runner is ordered to serve."""
        answer = runner_api.DesiredModelAnswer(call.fencing_number, call.model)
        self._served[runner.runner_id] = answer
        return Ok(answer)


class _Documents:
    """Documents of services that each have a desired model."""

    def __init__(self, names: tuple[ids.ServiceName, ...]) -> None:
        self._names = names

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Return the names of the services."""
        return self._names

    def parsed(self, service: ids.ServiceName) -> documents.ServiceDocument:
        """Return a document with a desired model."""
        runner_options = documents.RunnerOptions(True, MODEL)
        model = states.ServiceType.MODEL
        return documents.ServiceDocument(
            service, model, "x", (), (), "m", runners=runner_options
        )

    def may_admit(self) -> bool:
        """Return true."""
        return True


class _Members:
    """A membership list with one VM, which therefore holds every lease."""

    def __init__(self, runners: tuple[fleet.Runner, ...]) -> None:
        self._listed = fleet.Members(slope_fleet.vms(1), runners)
        self.vm = self._listed.vms[0]

    @property
    def view(self) -> membership.View:
        """The view with the list as just read."""
        return membership.merge(membership.View(), self._listed, time.monotonic())


async def _hold(size: int) -> tuple[float, float, float]:
    """Return the rows written, rows read and runners read in the hold time."""
    counting_table = slope_table.CountingTable()
    runners = slope_fleet.runners(
        size * slope_fleet.DATA_CENTRES * RUNNERS_PER_SERVICE, size
    )
    local_runners = tuple(
        r for r in runners if r.data_centre == slope_fleet.data_centre(0)
    )
    names = tuple(dict.fromkeys(runner.service for runner in local_runners))
    assert len(names) == size
    members: Any = _Members(local_runners)
    served: Any = _Runners()
    held: Any = _Documents(names)
    controller = placement_controller.PlacementController(
        counting_table.client(), served, members, held, members.vm.vm_id, time.monotonic
    )
    controller.start()
    await asyncio.sleep(WARM_UP_S)
    assert all(controller.holds_lease(name) for name in names)
    written, read, reads_before = (
        counting_table.write_count,
        counting_table.read_count,
        served.read_count,
    )
    await asyncio.sleep(HOLD_DURATION_S)
    counts = (
        float(counting_table.write_count - written),
        float(counting_table.read_count - read),
        float(served.read_count - reads_before),
    )
    await controller.close()
    return counts
