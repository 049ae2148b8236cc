"""Injects faults into a deployment of real processes and ends them."""

import asyncio
import dataclasses
import enum
import time

from lacewingdrum_state import states
from standins import cluster

VICTIM_DAEMON = "vm-1"
VICTIM_ENGINE = "engine-1"


class Fault(enum.Enum):
    """A fault of a process or of its connections."""

    KILL_DAEMON = "kill_daemon"
    FREEZE_DAEMON = "freeze_daemon"
    KILL_ENGINE = "kill_engine"
    FREEZE_ENGINE = "freeze_engine"
    SILENT_ENGINE = "silent_engine"
    SILENT_TABLE = "silent_table"
    TABLE_DOWN = "table_down"
    TABLE_SLOW = "table_slow"
    TABLE_LOSES_REPLIES = "table_loses_replies"
    TABLE_WRITES_LATE = "table_writes_late"
    ENGINE_LEAVES_LIST_LAGS = "engine_leaves_list_lags"
    CANCELS_LOST = "cancels_lost"
    IMPORT_REPLIES_LOST = "import_replies_lost"
    STREAMS_CUT = "streams_cut"
    PARTS_MIXED = "parts_mixed"


@dataclasses.dataclass(slots=True)
class AffectedDaemons:
    """Daemons whose faults the check of the load has to allow for."""

    killed: set[str] = dataclasses.field(default_factory=set)
    thawed_s: dict[str, float] = dataclasses.field(default_factory=dict)


async def inject(
    fault: Fault, deployment: cluster.Cluster, affected: AffectedDaemons
) -> None:
    """Inject a fault.

    Args:
        fault: the fault.
        deployment: the deployment.
        affected: records the daemons that the fault kills.
    """
    table = deployment.platform["table"]
    match fault:
        case Fault.KILL_DAEMON:
            affected.killed.add(VICTIM_DAEMON)
            await deployment.kill_daemon(VICTIM_DAEMON)
        case Fault.FREEZE_DAEMON:
            # Another fault of the pair may have killed it.
            deployment.daemons[VICTIM_DAEMON].child.freeze()
        case Fault.KILL_ENGINE:
            await deployment.runners[VICTIM_ENGINE].child.kill()
        case Fault.FREEZE_ENGINE:
            deployment.runners[VICTIM_ENGINE].child.freeze()
        case Fault.SILENT_ENGINE:
            await deployment.silence(deployment.runners["engine-0"])
        case Fault.SILENT_TABLE:
            await deployment.silence(table)
        case Fault.TABLE_DOWN:
            await deployment.fault(table, outage=True)
        case Fault.TABLE_SLOW:
            await deployment.fault(table, delay_ms=1_500)
        case Fault.TABLE_LOSES_REPLIES:
            await deployment.fault(table, lose_replies=0.3)
        case Fault.TABLE_WRITES_LATE:
            await deployment.fault(table, late_writes=0.3)
        case Fault.ENGINE_LEAVES_LIST_LAGS:
            await deployment.fault(deployment.platform["members"], list_lag_ms=60_000)
            await deployment.fault(deployment.runners["engine-2"], leaving=True)
            await deployment.mark("engine-2", states.MemberState.LEAVING)
        case _:
            await _fault_engines(deployment, fault, 1.0)


async def heal(
    fault: Fault, deployment: cluster.Cluster, affected: AffectedDaemons
) -> None:
    """End a fault; do nothing for a fault that lasts for the whole trial."""
    match fault:
        case Fault.KILL_DAEMON:
            plan = deployment.daemons[VICTIM_DAEMON].plan
            deployment.daemons[VICTIM_DAEMON].child.thaw()
            await deployment.start_daemon(plan)
        case Fault.FREEZE_DAEMON:
            deployment.daemons[VICTIM_DAEMON].child.thaw()
            affected.thawed_s[VICTIM_DAEMON] = time.monotonic()
        case Fault.FREEZE_ENGINE:
            deployment.runners[VICTIM_ENGINE].child.thaw()
        case Fault.TABLE_DOWN:
            await deployment.fault(deployment.platform["table"], outage=False)
        case Fault.TABLE_SLOW:
            await deployment.fault(deployment.platform["table"], delay_ms=0)
        case Fault.TABLE_LOSES_REPLIES:
            await deployment.fault(deployment.platform["table"], lose_replies=0.0)
        case Fault.TABLE_WRITES_LATE:
            await deployment.fault(deployment.platform["table"], late_writes=0.0)
        case Fault.CANCELS_LOST | Fault.IMPORT_REPLIES_LOST:
            await _fault_engines(deployment, fault, 0.0)
        case Fault.STREAMS_CUT | Fault.PARTS_MIXED:
            await _fault_engines(deployment, fault, 0.0)
        case _:
            return


async def _fault_engines(
    deployment: cluster.Cluster, fault: Fault, amount: float
) -> None:
    faults: dict[str, float] = {}
    match fault:
        case Fault.CANCELS_LOST:
            faults["lose_cancels"] = 0.7 * amount
        case Fault.IMPORT_REPLIES_LOST:
            faults["lose_import_replies"] = 0.5 * amount
        case Fault.STREAMS_CUT:
            faults["cut_streams"] = 0.01 * amount
        case Fault.PARTS_MIXED:
            faults["mix_parts"] = 0.2 * amount
    engines = [
        process
        for name, process in deployment.runners.items()
        if name.startswith("engine-") and process.child.is_running
    ]
    for process in engines:
        try:
            async with asyncio.timeout(1.0):
                await deployment.fault(process, **faults)
        except (TimeoutError, RuntimeError):
            # A frozen engine cannot apply the fault; it already has another.
            continue
