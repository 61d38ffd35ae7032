"""Choice of the target for a request.

Explanation
===========
All VMs prefer the target with the largest share of free slots, so that load
stays even during bursts and behind balancers that spread requests unevenly.
Between targets with about equal load, one in the VM's own failure domain is
preferred.
"""

from collections.abc import Callable, Collection, Iterable

from .model import Target

# Share of in-use slots added to targets in other failure domains.
OTHER_DOMAIN_PENALTY = 0.05


def choose_target(
    targets: Iterable[Target],
    in_flight: Callable[[str], int],
    failure_domain: str,
    avoided: Collection[str] = (),
) -> Target | None:
    """Return the target with the smallest share of slots in use.

    Parameters
    ==========
    in_flight : Callable
        Returns the number of in-flight requests at an engine.
    avoided : Collection
        Ids of engines that must not be used now.

    Returns
    =======
    Target or None
        ``None`` if no target has a free slot.
    """
    best: Target | None = None
    best_share = float('inf')
    for target in targets:
        in_use = in_flight(target.engine_id)
        if in_use >= target.slots or target.engine_id in avoided:
            continue
        share = in_use / target.slots
        if target.failure_domain != failure_domain:
            share += OTHER_DOMAIN_PENALTY
        if share < best_share:
            best = target
            best_share = share
    return best
