"""Which target takes a request.

Explanation
===========
Answers bursts and uneven balancers: the target with the most free places
goes first, whichever VM asks, and one in the own failure domain where two
are about equal.
"""

from collections.abc import Callable, Collection, Iterable

from .model import Target

# A target elsewhere must be emptier by this share of its places.
OTHER_DOMAIN_PENALTY = 0.05


def choose_target(
    targets: Iterable[Target],
    running: Callable[[str], int],
    failure_domain: str,
    avoided: Collection[str] = (),
) -> Target | None:
    """Return the target with the smallest share of taken places.

    Parameters
    ==========
    running : Callable
        Requests under way at an engine.
    avoided : Collection
        Ids of engines that are not to be used now.

    Returns
    =======
    Target or None
        ``None`` if no target has a free place.
    """
    best: Target | None = None
    best_share = float('inf')
    for target in targets:
        taken = running(target.engine_id)
        if taken >= target.slots or target.engine_id in avoided:
            continue
        share = taken / target.slots
        if target.failure_domain != failure_domain:
            share += OTHER_DOMAIN_PENALTY
        if share < best_share:
            best = target
            best_share = share
    return best
