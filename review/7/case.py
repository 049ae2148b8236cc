"""A gateway that is starting is ended by the SIGHUP of a settings change."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import small_site  # noqa: E402

GATEWAYS = 7
# 2 of 7 machines, which is within the share of 0.3.
CHANGED = 2
CHANGES = 6
CHANGE_INTERVAL_S = 0.58
FIRST_CHANGE_S = 0.08
ENDS = 3
STOP_MAX_S = 10.0
WATCH_S = 8.0


async def watch(gateway) -> None:
    """Start a process again after each end, as the platform does."""
    while True:
        code = await gateway.process.wait()
        gateway.own_ends += 1
        gateway.record.add(f"{gateway.name} has ended by itself, code {code}")
        await asyncio.sleep(small_site.RESTART_DELAY_S)
        await gateway.start()


async def case(record, store, gateways, has_trouble) -> bool:
    """Restart some machines as planned, and change their settings then."""
    routes = [small_site.route("read", "idempotent", "ledger")]
    store.put("op", "config", small_site.desired_state(routes))
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    changed = gateways[:CHANGED]
    for gateway in changed:
        gateway.send_signal(signal.SIGTERM)
        await asyncio.wait_for(gateway.process.wait(), STOP_MAX_S)
        record.add(f"{gateway.name} has stopped, code {gateway.process.returncode}")
    watches = []
    for gateway in changed:
        await gateway.start()
        watches.append(asyncio.create_task(watch(gateway)))
    await asyncio.sleep(FIRST_CHANGE_S)
    for _ in range(CHANGES if has_trouble else 0):
        for gateway in changed:
            gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(WATCH_S)
    for task in watches:
        task.cancel()
    for gateway in changed:
        record.add(f"{gateway.name}: {gateway.own_ends} ends by itself")
    return sum(gateway.own_ends >= ENDS for gateway in gateways) >= CHANGED


if __name__ == "__main__":
    sys.exit(small_site.main(case, GATEWAYS, FOLDER))
