"""Requests reach a runner that has asked this machine to stay away."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import small_site  # noqa: E402

RUNNERS = 3
GATEWAYS = 3
PLAY_S = 40.0
REQUEST_INTERVAL_S = 0.05
WORK_S = 0.03
# The first runner is full for this time, and asks to stay away for longer.
FULL_FROM_S, FULL_UNTIL_S = 4.0, 5.0
RETRY_AFTER_S = 30
# It is cut off from the store for this time.
CUT_FROM_S, CUT_UNTIL_S = 7.0, 12.5
GRACE_S = 0.5
ALLOWED = 2


class Plain(small_site.Runner):
    """Serves requests; turns them away while it is full."""

    def __init__(self, *fields) -> None:
        super().__init__(*fields)
        self.is_full = False
        # By gateway: when it was first told to stay away.
        self.told_s: dict[str, float] = {}
        self.late: collections.Counter[str] = collections.Counter()

    async def run(self, request, writer) -> bool:
        """Run a request, or turn it away."""
        gateway = request.headers["sent-to"]
        name = request.headers["attempt-id"]
        now_s = time.monotonic()
        told_s = self.told_s.get(gateway)
        if told_s is not None and GRACE_S < now_s - told_s < RETRY_AFTER_S:
            self.late[gateway] += 1
            self.record.add(
                f"{name} from {gateway} reaches {self.name} "
                f"{now_s - told_s:.1f} s after that was told to stay away"
            )
        if self.is_full:
            self.told_s.setdefault(gateway, now_s)
            self.record.add(f"{self.name} turns {name} of {gateway} away")
            headers = {
                "Attempt-Id": name,
                "Not-Executed": "1",
                "Retry-After": str(RETRY_AFTER_S),
            }
            writer.write(small_site.format_answer(503, headers, b""))
            return True
        await asyncio.sleep(WORK_S)
        writer.write(small_site.format_answer(200, self.answer_headers(request), b"ok"))
        return True


async def case(record, store, gateways, has_trouble) -> bool:
    """Send reads; return whether too many reached the first runner."""
    routes = [
        small_site.route(
            "read", "idempotent", "ledger", timeout_ms=1000, target_latency_ms=200
        )
    ]
    store.put("op", "config", small_site.desired_state(routes))
    runners = [
        Plain(store, f"l{number}", "ledger", record) for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)
    first, start_s = runners[0], time.monotonic()

    async def send(number: int) -> None:
        gateway = gateways[number % len(gateways)]
        headers = {
            "Attempt-Id": f"{number:016x}",
            "Key": "key-of-alice",
            "Deadline-Ms": "1000",
            "Sent-To": gateway.name,
        }
        path = f"/read/{number}"
        answer = await small_site.call(
            gateway.host, gateway.port, "GET", path, headers, b"", 1
        )
        status = answer.start.split(" ")[1] if answer is not None else "none"
        record.add(f"{number:016x} at {gateway.name} is answered: {status}")

    tasks = []
    while (passed_s := time.monotonic() - start_s) < PLAY_S:
        first.is_full = FULL_FROM_S <= passed_s < FULL_UNTIL_S
        is_cut = has_trouble and CUT_FROM_S <= passed_s < CUT_UNTIL_S
        if is_cut != first.is_cut_from_store:
            first.is_cut_from_store = is_cut
            record.add(f"{first.name} is cut off from the store: {is_cut}")
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    for runner in runners:
        await runner.close()
    record.add(f"requests that reached it too soon: {dict(first.late)}")
    return any(count > ALLOWED for count in first.late.values())


if __name__ == "__main__":
    sys.exit(small_site.main(case, GATEWAYS, FOLDER))
