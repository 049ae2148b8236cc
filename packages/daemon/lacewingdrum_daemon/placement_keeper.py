"""Orders each runner's model: the driver of ``coordination.leases``."""

import typing
from collections.abc import Callable

from lacewingdrum_state import ids

if typing.TYPE_CHECKING:
    from lacewingdrum_daemon import document_keeper, members_keeper
    from lacewingdrum_transport import runner_client, table_client


class PlacementKeeper:
    """Holds placement leases and keeps runners at their desired model."""

    def __init__(
        self,
        table: "table_client.TableClient",
        runners: "runner_client.RunnerClient",
        members: "members_keeper.MembersKeeper",
        documents: "document_keeper.DocumentKeeper",
        vm_id: ids.VmId,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._runners = runners
        self._members = members
        self._documents = documents
        self._vm_id = vm_id
        self._clock = clock

    def start(self) -> None:
        """Begin to watch the leases."""

    async def close(self) -> None:
        """Stop ordering; the leases lapse by themselves."""
