"""Checks documents on virtual time with racing operators and faults.

In each round, two operators submit on the same base version to random daemons.
Meanwhile replies are lost, the table is down, or daemons are killed, frozen,
partitioned and added. A watcher checks the version in force at every daemon.
"""

import asyncio
import random

from lacewingdrum_coordination import documents
from lacewingdrum_protocol import row_codec
from lacewingdrum_state import documents as document_types, ids
from tests import document_site, faulty_table, proofs, virtual_time

SUBMISSION_COUNT = 200
DAEMON_COUNT = 6
IN_FORCE_S = 5.0
WATCH_PERIOD_S = 0.1
ROUND_PAUSE_S = 0.3
MESSAGE_LOSS = 0.1
LATE_MESSAGES = 0.1
FAULTS = (
    faulty_table.Faults(),
    faulty_table.Faults(refused=0.3, read_lost=0.2),
    faulty_table.Faults(reply_lost=0.5),
    faulty_table.Faults(dropped=0.3, reply_lost=0.3),
    faulty_table.Faults(late=0.5),
    faulty_table.Faults(late=0.2, reply_lost=0.3, dropped=0.2, read_lost=0.3),
)


class Trial:
    """One run, the results of submissions and the versions observed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, count: int) -> None:
        self._loop = loop
        self._count = count
        self._rng = random.Random(seed)
        self._site = document_site.Site(seed)
        self._site.network.loss = MESSAGE_LOSS
        self._site.network.late = LATE_MESSAGES
        self._accepted_s: dict[int, float] = {}
        self._results: list[tuple[ids.SubmissionId, documents.SubmitResult | None]] = []
        self._shown: dict[ids.VmId, int] = {}
        self._frozen: set[ids.VmId] = set()
        self._thawed_s: dict[ids.VmId, float] = {}
        self.submitted = 0
        self.violations: list[str] = []

    async def run(self) -> None:
        """Run all rounds, wait for late writes and check the final state."""
        for _ in range(DAEMON_COUNT):
            self._site.add()
        await asyncio.sleep(1.5)
        watch_task = asyncio.ensure_future(self._watch())
        while self.submitted < self._count:
            await self._round()
        self._site.table.faults = faulty_table.Faults()
        await asyncio.sleep(documents.RESOLVE_TIMEOUT_S + faulty_table.LATE_WRITE_MAX_S)
        watch_task.cancel()
        self._check_history()
        await self._site.close()

    async def _round(self) -> None:
        self._site.table.faults = self._rng.choice(FAULTS)
        fault_task = asyncio.ensure_future(self._inject_fault())
        base = max(daemon.version for daemon in self._site.daemons.values())
        await asyncio.gather(self._submit(base), self._submit(base))
        await asyncio.sleep(self._rng.uniform(0.0, ROUND_PAUSE_S))
        await fault_task

    async def _submit(self, base: int) -> None:
        self.submitted += 1
        name = ids.SubmissionId(f"sub-{self.submitted}")
        daemon = self._rng.choice(list(self._site.daemons.values()))
        submitting = asyncio.ensure_future(
            daemon.document_sync.submit(
                document_site.SERVICE, ids.DocumentVersion(base), name, f"of {name}"
            )
        )
        while not submitting.done():
            await asyncio.wait({submitting}, timeout=WATCH_PERIOD_S)
            if self._site.daemons.get(daemon.vm.vm_id) is not daemon:
                # The daemon was killed, so the operator receives no result.
                submitting.cancel()
                self._results.append((name, None))
                return
        result = submitting.result()
        self._results.append((name, result))
        if isinstance(result, documents.Accepted):
            self._accepted_s.setdefault(result.stored.version, self._loop.time())

    async def _inject_fault(self) -> None:
        kind = self._rng.choice(["none", "outage", "replace", "freeze", "cut"])
        await asyncio.sleep(self._rng.uniform(0.0, 0.4))
        if kind == "outage":
            self._site.table.is_down = True
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            await self._replace()
            await asyncio.sleep(self._rng.uniform(0.1, 6.0))
            self._site.table.is_down = False
        elif kind == "replace":
            await self._replace()
        elif kind == "freeze":
            await self._freeze(self._rng.choice(list(self._site.daemons)))
        elif kind == "cut":
            await self._partition(self._rng.choice(list(self._site.daemons)))

    async def _replace(self) -> None:
        replaced_vm_id = self._rng.choice(list(self._site.daemons))
        if self._rng.random() < 0.5:
            self._site.add()
        await self._site.kill(replaced_vm_id)
        if len(self._site.daemons) < DAEMON_COUNT:
            self._site.add()

    async def _freeze(self, vm_id: ids.VmId) -> None:
        daemon = self._site.daemons[vm_id]
        daemon.freeze()
        self._frozen.add(vm_id)
        await asyncio.sleep(self._rng.uniform(0.1, 8.0))
        daemon.thaw()
        self._frozen.discard(vm_id)
        self._thawed_s[vm_id] = self._loop.time()

    async def _partition(self, vm_id: ids.VmId) -> None:
        daemon = self._site.daemons[vm_id]
        self._site.network.partitioned.add(vm_id)
        daemon.link.is_partitioned = True
        await asyncio.sleep(self._rng.uniform(0.1, 12.0))
        daemon.link.is_partitioned = False
        self._site.network.partitioned.discard(vm_id)

    async def _watch(self) -> None:
        while True:
            for vm_id, daemon in self._site.daemons.items():
                if vm_id not in self._frozen:
                    self._check_version(vm_id, daemon)
            await asyncio.sleep(WATCH_PERIOD_S)

    def _check_version(self, vm_id: ids.VmId, daemon: document_site.Daemon) -> None:
        version = daemon.version
        if version < self._shown.get(vm_id, 0):
            self.violations.append(f"{vm_id} went back to {version}")
        self._shown[vm_id] = version
        if not daemon.document_sync.may_admit():
            return
        # For a daemon that was frozen, the time starts at its thaw. A new
        # daemon has no such time, as it admits work only once it is ready.
        now_s = self._loop.time()
        thawed_s = self._thawed_s.get(vm_id, float("-inf"))
        for accepted, at_s in self._accepted_s.items():
            if now_s - max(at_s, thawed_s) > IN_FORCE_S and version < accepted:
                self.violations.append(f"{vm_id} has {version}, accepted is {accepted}")

    def _check_history(self) -> None:
        history = self._history()
        for name, result in self._results:
            match result:
                case documents.Accepted(stored):
                    if history.get(stored.version) != stored:
                        self.violations.append(f"{name} was accepted and is lost")
                case documents.Conflict() | documents.Unavailable():
                    if any(name == row.submission_id for row in history.values()):
                        self.violations.append(f"{name} was refused and is in force")
        newest = max(history, default=0)
        for vm_id, daemon in self._site.daemons.items():
            if daemon.version != newest:
                self.violations.append(f"{vm_id} ends at {daemon.version} of {newest}")

    def _history(self) -> dict[int, document_types.StoredDocument]:
        history: dict[int, document_types.StoredDocument] = {}
        for key, row in self._site.table.rows.items():
            if key.table == row_codec.DOCUMENT_TABLE:
                stored = row_codec.decode_document(row.value).unwrap()
                history[stored.version] = stored
        return history

    def count(self, kind: type) -> int:
        """Return the number of submissions with a result of type ``kind``."""
        return sum(isinstance(result, kind) for _, result in self._results)


def run_submissions(seed: int, count: int = SUBMISSION_COUNT) -> proofs.Outcome:
    """Run submissions by two racing operators.

    Args:
        seed: seed of the run.
        count: number of submissions.

    Returns:
        The number of submissions and the violations.
    """

    async def main(loop: asyncio.AbstractEventLoop) -> Trial:
        trial = Trial(loop, seed, count)
        await trial.run()
        return trial

    trial = virtual_time.run(main)
    found = list(trial.violations)
    if trial.count(documents.Accepted) < count // 10:
        found.append("too few accepted to prove anything")
    return proofs.Outcome(trial.submitted, tuple(found))


PROOFS = (
    proofs.Proof(
        "documents: accepted is in force in 5 s and stays", 8_000, run_submissions
    ),
)
