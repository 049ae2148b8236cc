"""Which daemon is the home of a runner or of a customer.

Rendezvous hashing over the live daemons: each daemon works out the same home
from the same list without asking anyone, and a daemon that comes or goes
moves only the homes that it gains or loses.
"""

from collections.abc import Sequence

import xxhash

from lacewingdrum_state import ids


def pick_vm(key: str, vm_ids: Sequence[ids.VmId]) -> ids.VmId | None:
    """Pick the VM with the highest hash weight for a key.

    Args:
        key: what needs a home.
        vm_ids: the VMs to pick from, in any order.

    Returns:
        The VM, or None if there are none.
    """
    if not vm_ids:
        return None
    return max(vm_ids, key=lambda vm_id: (_hash_weight(key, vm_id), vm_id))


def coordinator_of_runner(
    runner_id: ids.RunnerId, vm_ids: Sequence[ids.VmId]
) -> ids.VmId | None:
    """Find a runner's home.

    Args:
        runner_id: the runner.
        vm_ids: the live VMs of the runner's data centre, or all live VMs
            where the data centre has none.

    Returns:
        The VM whose daemon is the home, or None if no VM is live.
    """
    return pick_vm(f"runner\x1f{runner_id}", vm_ids)


def coordinator_of_customer(
    service: ids.ServiceName,
    customer: ids.CustomerId,
    vm_ids: Sequence[ids.VmId],
) -> ids.VmId | None:
    """Find the home of a customer's budget for one service.

    Args:
        service: the service whose document states the limit.
        customer: the customer.
        vm_ids: the live VMs.

    Returns:
        The VM whose daemon is the home, or None if no VM is live.
    """
    return pick_vm(f"customer\x1f{service}\x1f{customer}", vm_ids)


def stable_hash(key: str) -> int:
    """Returns: a number that spreads keys evenly, alike on all daemons."""
    return xxhash.xxh3_64_intdigest(key.encode())


def _hash_weight(key: str, vm_id: ids.VmId) -> int:
    return stable_hash(f"{key}\x1f{vm_id}")
