"""Orders runners to load their desired model, as the holder of a lease.

The decisions are made in ``coordination.leases`` and
``coordination.placement``. One daemon at a time holds a service's lease and
orders its runners. Rendezvous hashing picks the daemon that should hold it,
so that the others need not read the row.
"""

import asyncio
import logging
import secrets
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import coordinators, leases, membership, placement
from lacewingdrum_daemon import document_sync, membership_sync, tables
from lacewingdrum_protocol import row_codec, runner_api
from lacewingdrum_runtime import decision_log, tasks
from lacewingdrum_state import documents as document_types, fleet, ids, rows
from lacewingdrum_transport import runner_client

CHECK_INTERVAL_S = 0.5
RUNNER_CALL_TIMEOUT_S = 1.0

_log = logging.getLogger(f"{decision_log.ROOT_LOGGER}.placement")


class PlacementController:
    """Holds placement leases and orders runners to load their models."""

    def __init__(
        self,
        table: tables.Table,
        runners: runner_client.RunnerClient,
        members: membership_sync.MembershipSync,
        documents: document_sync.DocumentSync,
        vm_id: ids.VmId,
        clock: Callable[[], float],
    ) -> None:
        """Create the controller; ``start`` begins the work.

        Args:
            table: the platform's table service.
            runners: the client for calls to runners.
            members: the view of the VMs and runners.
            documents: the documents, which state the desired models.
            vm_id: this daemon's VM.
            clock: monotonic seconds.
        """
        self._table = table
        self._runners = runners
        self._members = members
        self._documents = documents
        self._vm_id = vm_id
        self._clock = clock
        # A daemon that restarts on the same VM is a different holder.
        self._holder = ids.VmId(f"{vm_id}/{secrets.token_hex(4)}")
        self._placements: dict[ids.ServiceName, _ServicePlacement] = {}
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start maintaining the leases."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop sending orders; the leases expire by themselves."""
        await self._tasks.close()
        for service_placement in self._placements.values():
            await service_placement.close()

    def holds_lease(self, service: ids.ServiceName) -> bool:
        """Return whether this daemon holds a service's lease."""
        service_placement = self._placements.get(service)
        return service_placement is not None and service_placement.is_lease_valid()

    async def _run(self) -> None:
        while True:
            try:
                for service in self._documents.services():
                    self._placement_of(service).tick(
                        self._coordinated_document(service)
                    )
            except Exception:
                # Keep running after an unexpected error: without this loop,
                # runners with a wrong model would no longer be corrected.
                _log.exception("placement check failed")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _placement_of(self, service: ids.ServiceName) -> "_ServicePlacement":
        if service not in self._placements:
            self._placements[service] = _ServicePlacement(
                service,
                self._table,
                self._runners,
                self._members,
                self._clock,
                self._holder,
            )
        return self._placements[service]

    def _coordinated_document(
        self, service: ids.ServiceName
    ) -> document_types.ServiceDocument | None:
        """Return the document if this daemon should hold the service's lease.

        Otherwise, or if the service has no desired model, return None.
        """
        document = self._documents.parsed(service)
        if document is None or not document.runners.desired_model:
            return None
        if not self._documents.may_admit():
            return None
        live = membership.live_vms(self._members.view, self._clock())
        coordinator = coordinators.pick_vm(
            f"placement\x1f{service}", [vm.vm_id for vm in live]
        )
        return document if coordinator == self._vm_id else None


class _ServicePlacement:
    """The lease and the runners of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        table: tables.Table,
        runners: runner_client.RunnerClient,
        members: membership_sync.MembershipSync,
        clock: Callable[[], float],
        holder: ids.VmId,
    ) -> None:
        self._service = service
        self._table = table
        self._runners = runners
        self._members = members
        self._clock = clock
        self._lease = leases.Lease(holder)
        self._lease_task: asyncio.Task | None = None
        self._models_task: asyncio.Task | None = None
        self._last_models_check_s = float("-inf")
        self._confirmed: dict[ids.RunnerId, placement.PlacementOrder] = {}
        self._tasks = tasks.TaskSet()

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.close()

    def is_lease_valid(self) -> bool:
        """Return whether this daemon is certain to be the only holder now."""
        return leases.is_valid(self._lease, self._clock())

    def tick(self, document: document_types.ServiceDocument | None) -> None:
        """Start the calls that are due for the lease and the runners.

        Args:
            document: the service's document; None to give up the lease.
        """
        if _is_done(self._lease_task):
            action = self._step(leases.Tick(document is not None))
            if action is not None:
                self._lease_task = self._tasks.spawn(self._call_table(action))
        if (
            document is None
            or not self.is_lease_valid()
            or not _is_done(self._models_task)
        ):
            return
        if self._clock() >= self._last_models_check_s + placement.READ_BACK_INTERVAL_S:
            self._last_models_check_s = self._clock()
            self._models_task = self._tasks.spawn(self._ensure_desired_models(document))

    def _step(self, event: leases.Event) -> leases.Action | None:
        before = self._lease
        self._lease, action = leases.step(before, event, self._clock())
        if before.own_fencing_number != self._lease.own_fencing_number:
            lost = self._lease.own_fencing_number is None
            kind = decision_log.DecisionEvent.LEASE_LOST
            if not lost:
                kind = decision_log.DecisionEvent.LEASE_TAKEN
            number = (
                before.own_fencing_number if lost else self._lease.own_fencing_number
            )
            self._log_event(kind, fencing_number=number)
        return action

    async def _call_table(self, action: leases.Action | None) -> None:
        key = row_codec.lease_key(self._service)
        while action is not None:
            match action:
                case leases.ReadRow():
                    event = await self._read(key)
                case leases.WriteRow(row, if_version):
                    value = row_codec.encode(row)
                    event = await self._write(rows.RowWrite(key, if_version, value))
            action = self._step(event)

    async def _read(self, key: rows.RowKey) -> leases.Event:
        match await self._table.read((key,)):
            case Ok((found,)):
                row = row_codec.decode_lease(found.value).ok()
                return leases.RowRead(found.row_version, row)
        return leases.CallFailed()

    async def _write(self, write: rows.RowWrite) -> leases.Event:
        match await self._table.write((write,)):
            case Ok((outcome,)):
                row = row_codec.decode_lease(outcome.row.value).ok()
                return leases.WriteReply(outcome.applied, outcome.row.row_version, row)
        return leases.CallFailed()

    async def _ensure_desired_models(
        self, document: document_types.ServiceDocument
    ) -> None:
        runners = self._members.view.usable_runners(self._service)
        await asyncio.gather(
            *(self._ensure_desired_model(document, runner) for runner in runners)
        )

    async def _ensure_desired_model(
        self, document: document_types.ServiceDocument, runner: fleet.Runner
    ) -> None:
        match await self._runners.read_desired_model(runner, RUNNER_CALL_TIMEOUT_S):
            case Ok(answer):
                current = placement.PlacementOrder(answer.fencing_number, answer.model)
            case Err():
                return
        number = self._lease.own_fencing_number
        if number is None:
            return
        runner_options = document.runners
        decision = placement.decide(
            runner_options.desired_model, number, runner_options.checks_fencing, current
        )
        if decision.reason is placement.Reason.NEWER_HOLDER:
            self._step(leases.Fenced())
        if not decision.must_send_order:
            return
        wanted = placement.PlacementOrder(number, runner_options.desired_model)
        was_confirmed = self._confirmed.get(runner.runner_id) == wanted
        kind = decision_log.DecisionEvent.PLACEMENT_ORDERED
        if was_confirmed:
            kind = decision_log.DecisionEvent.PLACEMENT_REPAIRED
        self._log_event(
            kind,
            runner_id=runner.runner_id,
            model=runner_options.desired_model,
            found_model=current.model,
            fencing_number=number,
            found_fencing_number=current.fencing_number,
            reason=decision.reason.value,
        )
        await self._send_desired_model(
            runner, runner_api.DesiredModelCall(number, runner_options.desired_model)
        )

    async def _send_desired_model(
        self, runner: fleet.Runner, call: runner_api.DesiredModelCall
    ) -> None:
        # The process can be paused between any two steps, so the lease is
        # checked immediately before the send.
        if (
            not self.is_lease_valid()
            or self._lease.own_fencing_number != call.fencing_number
        ):
            return
        match await self._runners.set_desired_model(
            runner, call, RUNNER_CALL_TIMEOUT_S
        ):
            case Ok(answer) if answer.fencing_number > call.fencing_number:
                self._step(leases.Fenced())
            case Ok(answer):
                confirmed = placement.PlacementOrder(
                    answer.fencing_number, answer.model
                )
                self._confirmed[runner.runner_id] = confirmed

    def _log_event(self, event: decision_log.DecisionEvent, **fields: object) -> None:
        _log.info(
            event.value,
            extra={"event": event.value, "service": self._service, **fields},
        )


def _is_done(task: asyncio.Task | None) -> bool:
    return task is None or task.done()
