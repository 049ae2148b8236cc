"""Determines which daemon coordinates a runner or a customer's budget.

It uses rendezvous hashing over the live daemons. Daemons with the same list
compute the same coordinator without exchanging messages. When a daemon joins
or leaves, the only items that get another coordinator are those that this
daemon then coordinates or coordinated before.
"""

from collections.abc import Sequence

import xxhash

from lacewingdrum_state import ids


def pick_vm(key: str, vm_ids: Sequence[ids.VmId]) -> ids.VmId | None:
    """Pick the VM with the highest hash weight for a key.

    Args:
        key: identifies the item that needs a coordinator.
        vm_ids: the VMs to pick from, in any order.

    Returns:
        The VM, or None if ``vm_ids`` is empty.
    """
    if not vm_ids:
        return None
    return max(vm_ids, key=lambda vm_id: (_hash_weight(key, vm_id), vm_id))


def coordinator_of_runner(
    runner_id: ids.RunnerId, vm_ids: Sequence[ids.VmId]
) -> ids.VmId | None:
    """Return the VM whose daemon coordinates a runner.

    Args:
        runner_id: the runner.
        vm_ids: the live VMs of the runner's data centre, or all live VMs
            if the data centre has none.

    Returns:
        The coordinator's VM, or None if no VM is live.
    """
    return pick_vm(f"runner\x1f{runner_id}", vm_ids)


def coordinator_of_customer(
    service: ids.ServiceName,
    customer: ids.CustomerId,
    vm_ids: Sequence[ids.VmId],
) -> ids.VmId | None:
    """Return the VM whose daemon coordinates a customer's budget.

    Args:
        service: the service whose document states the limit.
        customer: the customer.
        vm_ids: the live VMs.

    Returns:
        The coordinator's VM, or None if no VM is live.
    """
    return pick_vm(f"customer\x1f{service}\x1f{customer}", vm_ids)


def stable_hash(key: str) -> int:
    """Return a 64-bit hash of a key that is the same on all daemons."""
    return xxhash.xxh3_64_intdigest(key.encode())


def _hash_weight(key: str, vm_id: ids.VmId) -> int:
    return stable_hash(f"{key}\x1f{vm_id}")
