"""Builds the part of a router that keeps to the limits of engines."""

import random
from collections.abc import Callable

from ...process.clock import Clock
from ...process.metrics import Metrics
from ..membership import InFlightCounts
from .cold import ColdEngines
from .coldlimit import ColdLimit
from .gate import LimitGate
from .registry import LimitRegistry
from .sitesize import SiteSize


def build_limit_gate(
    counts: InFlightCounts,
    clock: Clock,
    known_vms: Callable[[], int],
    cold_engines: ColdEngines,
    metrics: Metrics,
    rng: random.Random | None = None,
) -> LimitGate:
    """Return the gate of a VM that knows of no limit.

    Parameters
    ==========
    known_vms : Callable
        Returns how many VMs the site has at most, including this one.
    """
    site_size = SiteSize(counts, clock, known_vms)
    drawn_from = rng or random.Random()
    return LimitGate(
        LimitRegistry(clock),
        counts,
        clock,
        site_size,
        ColdLimit(
            cold_engines,
            counts,
            clock,
            site_size,
            drawn_from,
            lambda: metrics.count('looks_at_cold_engines_held_back'),
        ),
        drawn_from,
    )
