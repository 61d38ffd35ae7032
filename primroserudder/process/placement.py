"""Chooses the VMs of a new group."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence

from .platform import VmListing, VmState


def choose_members(
    listed: Iterable[VmListing],
    claimed: Collection[str],
    pool: str,
    size: int,
) -> Sequence[VmListing]:
    """Return the VMs for a new group, none if no fabric domain has enough.

    Explanation
    ===========
    Of the fabric domains with enough free VMs, the one with the fewest is
    chosen. Larger sets of free VMs then stay available for larger groups.
    """
    free_by_fabric: dict[str, list[VmListing]] = defaultdict(list)
    for vm in listed:
        is_free = vm.state is VmState.LIVE and vm.vm_id not in claimed
        if is_free and vm.pool == pool:
            free_by_fabric[vm.fabric_domain].append(vm)
    fitting = [free for free in free_by_fabric.values() if len(free) >= size]
    if not fitting:
        return ()
    return min(fitting, key=len)[:size]
