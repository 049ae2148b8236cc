"""Checks documents on real processes with racing operators and faults.

Two operators submit continuously to random daemons. Meanwhile the table loses
replies, applies writes late and has outages, and daemons are killed and
replaced. A watcher reads the version in force at every daemon.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import msgspec
from result import Ok

from lacewingdrum_protocol import operators_api, row_codec, table_api
from lacewingdrum_state import ids
from lacewingdrum_transport import http_client
from standins import cluster
from tests import whole_system

IN_FORCE_S = 5.0
WATCH_PERIOD_S = 0.1
CALL_TIMEOUT_S = 8.0
WATCH_TIMEOUT_S = 1.0
RESOLVE_ATTEMPTS = 20
RETRY_PAUSE_S = 0.5
FAULT_S = 2.0
OUTAGE_S = 4.0
LATE_WRITES = 0.15
LOST_REPLIES = 0.2
SERVICE = ids.ServiceName(whole_system.APP_SERVICE)
AUTHORIZATION = (("Authorization", f"Bearer {cluster.OPERATOR_CREDENTIAL}"),)


@dataclasses.dataclass(slots=True)
class History:
    """The results of submissions, and the versions read from daemons."""

    accepted_s: dict[int, float] = dataclasses.field(default_factory=dict)
    accepted_ids: dict[int, str] = dataclasses.field(default_factory=dict)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    unresolved_ids: set[str] = dataclasses.field(default_factory=set)
    shown: dict[str, int] = dataclasses.field(default_factory=dict)
    shown_count: int = 0
    slowest_s: float = 0.0
    violations: list[str] = dataclasses.field(default_factory=list)


class Trial:
    """One run, recorded in ``history``."""

    def __init__(self, found: cluster.Cluster, count: int, seed: int) -> None:
        self._deployment = found
        self._count = count
        self._rng = random.Random(seed)
        self._http = http_client.HttpClient()
        self._text = (whole_system.EXAMPLES / f"{SERVICE}.toml").read_text()
        self._submitted = 0
        self.history = History()

    async def run(self) -> None:
        """Submit all documents under faults, and check the final state."""
        watch_task = asyncio.ensure_future(self._watch())
        fault_task = asyncio.ensure_future(self._inject_faults())
        await asyncio.gather(self._run_operator("first"), self._run_operator("second"))
        fault_task.cancel()
        await asyncio.gather(fault_task, return_exceptions=True)
        await self._deployment.fault(
            self._deployment.platform["table"],
            outage=False,
            lose_replies=0.0,
            late_writes=0.0,
        )
        await asyncio.sleep(IN_FORCE_S + 1.0)
        watch_task.cancel()
        await asyncio.gather(watch_task, return_exceptions=True)
        await self._check_history()
        await self._http.close()

    async def _run_operator(self, name: str) -> None:
        while self._submitted < self._count:
            self._submitted += 1
            text = f"{self._text}\n# edited by {name}, {self._submitted}\n"
            base = await self._read_base_version()
            await self._submit(base, str(ids.new_submission_id()), text)
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def _read_base_version(self) -> int:
        """Return the version at a random daemon, or 1 if none answers."""
        for _ in range(RESOLVE_ATTEMPTS):
            shown = await self._read_version(self._random_daemon())
            if shown is not None:
                return shown
            await asyncio.sleep(RETRY_PAUSE_S)
        return 1

    async def _submit(self, base: int, submission_id: str, text: str) -> None:
        """Submit, and retry with the same id until the result is known."""
        call = msgspec.json.encode(operators_api.SubmitCall(text, base, submission_id))
        path = f"{operators_api.DOCUMENTS_PREFIX}{SERVICE}"
        for _ in range(RESOLVE_ATTEMPTS):
            daemon = self._random_daemon()
            answer = await self._http.request(
                daemon.operators, "POST", path, AUTHORIZATION, call, CALL_TIMEOUT_S
            )
            match answer:
                case Ok(response) if response.status == 200:
                    found = msgspec.json.decode(
                        response.body, type=operators_api.DocumentAnswer
                    )
                    self._accept(found.version, submission_id)
                    return
                case Ok(response) if response.status == 409:
                    self.history.refused_ids.add(submission_id)
                    return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.history.unresolved_ids.add(submission_id)

    def _accept(self, version: int, submission_id: str) -> None:
        known = self.history.accepted_ids.setdefault(version, submission_id)
        if known != submission_id:
            self.history.violations.append(f"version {version} was given twice")
        self.history.accepted_s.setdefault(version, time.monotonic())

    def _random_daemon(self) -> cluster.DaemonProcess:
        return self._rng.choice(list(self._deployment.daemons.values()))

    async def _read_version(self, daemon: cluster.DaemonProcess) -> int | None:
        path = f"{operators_api.DOCUMENTS_PREFIX}{SERVICE}"
        answer = await self._http.request(
            daemon.operators, "GET", path, AUTHORIZATION, b"", WATCH_TIMEOUT_S
        )
        match answer:
            case Ok(response) if response.status == 200:
                found = msgspec.json.decode(
                    response.body, type=operators_api.DocumentAnswer
                )
                return found.version
        return None

    async def _watch(self) -> None:
        while True:
            for vm_id, daemon in list(self._deployment.daemons.items()):
                began_s = time.monotonic()
                shown = await self._read_version(daemon)
                if shown is not None:
                    self._check(f"{vm_id}.{daemon.incarnation}", shown, began_s)
            await asyncio.sleep(WATCH_PERIOD_S)

    def _check(self, name: str, shown: int, requested_s: float) -> None:
        history = self.history
        history.shown_count += 1
        before = history.shown.get(name, 0)
        if shown < before:
            history.violations.append(f"{name} went from {before} back to {shown}")
        history.shown[name] = max(before, shown)
        for version, accepted_s in history.accepted_s.items():
            if version > shown:
                late_s = requested_s - accepted_s
                history.slowest_s = max(history.slowest_s, late_s)
                if late_s > IN_FORCE_S:
                    history.violations.append(
                        f"{name} shows {shown} {late_s:.1f} s after {version}"
                    )

    async def _inject_faults(self) -> None:
        table = self._deployment.platform["table"]
        while True:
            await self._deployment.fault(table, lose_replies=LOST_REPLIES)
            await asyncio.sleep(FAULT_S)
            await self._deployment.fault(
                table, lose_replies=0.0, late_writes=LATE_WRITES
            )
            await self._replace_a_daemon()
            await asyncio.sleep(FAULT_S)
            await self._deployment.fault(table, late_writes=0.0, outage=True)
            await self._replace_a_daemon()
            await asyncio.sleep(OUTAGE_S)
            await self._deployment.fault(table, outage=False)
            await asyncio.sleep(FAULT_S)

    async def _replace_a_daemon(self) -> None:
        vm_id = self._rng.choice(list(self._deployment.daemons))
        plan = self._deployment.daemons[vm_id].plan
        await self._deployment.kill_daemon(vm_id)
        await self._deployment.start_daemon(plan)

    async def _check_history(self) -> None:
        """Compare the results of submissions with the table's rows."""
        history = self.history
        call = table_api.ScanCall(row_codec.DOCUMENT_TABLE, f"{SERVICE}/", 100_000)
        answer = await self._http.request(
            self._deployment.platform["table"].address,
            "POST",
            table_api.SCAN_PATH,
            (),
            msgspec.json.encode(call),
            CALL_TIMEOUT_S,
        )
        found = msgspec.json.decode(answer.unwrap().body, type=table_api.RowsAnswer)
        stored = {}
        for row in found.rows:
            document = row_codec.decode_document(row.value).unwrap()
            stored[int(document.version)] = str(document.submission_id)
        for version, submission_id in history.accepted_ids.items():
            if stored.get(version) != submission_id:
                history.violations.append(f"accepted version {version} is lost")
        for submission_id in history.refused_ids & set(stored.values()):
            history.violations.append(f"{submission_id} was refused and is in force")
        newest = max(stored)
        for vm_id, daemon in self._deployment.daemons.items():
            shown = await self._read_version(daemon)
            if shown != newest:
                history.violations.append(f"{vm_id} ends at {shown}, not {newest}")


async def run(count: int, folder: pathlib.Path, seed: int = 1) -> History:
    """Run one trial.

    Args:
        count: number of submissions of both operators together.
        folder: folder for settings and logs.
        seed: seed of the choice of daemons and of pauses.

    Returns:
        The results of submissions and the versions read.
    """
    async with whole_system.running(whole_system.plan(), folder) as found:
        trial = Trial(found, count, seed)
        await trial.run()
        return trial.history


def main() -> int:
    """Return 0 if there was no violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.guarantee_documents")
    parser.add_argument("--submissions", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-documents-") as name:
        history = asyncio.run(
            run(arguments.submissions, pathlib.Path(name), arguments.seed)
        )
    print(
        f"{arguments.submissions} submissions: {len(history.accepted_ids)} accepted, "
        f"{len(history.refused_ids)} conflicts, "
        f"{len(history.unresolved_ids)} unsettled; "
        f"{history.shown_count} reads, slowest in force {history.slowest_s:.2f} s, "
        f"{len(history.violations)} violations, seed {arguments.seed}"
    )
    print("\n".join(history.violations[:10]))
    return 1 if history.violations else 0


if __name__ == "__main__":
    sys.exit(main())
