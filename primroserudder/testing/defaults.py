"""Parts of a router whose features no configuration asks for."""

from ..fleet.cost.calls import CallCosts
from ..fleet.enginelimits import LimitGate, build_limit_gate
from ..fleet.evacuation import Evacuations
from ..fleet.membership import InFlightCounts
from ..fleet.regions import RegionMap
from ..platform import decode_evacuations
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .colddata import no_cold_engines
from .costdata import request_costs


def no_costs() -> CallCosts:
    """Return what a router that chooses by slots in use follows: nothing."""
    return CallCosts(request_costs(), is_enabled=False)


def unlimited_gate(
    counts: InFlightCounts, clock: Clock, known_vms: int = 1
) -> LimitGate:
    """Return the gate of a VM at which no engine has a limit."""
    return build_limit_gate(
        counts, clock, lambda: known_vms, no_cold_engines(clock), Metrics()
    )


def no_evacuations(clock: Clock) -> Evacuations:
    """Return the evacuations of a VM that knows of none."""
    return Evacuations(decode_evacuations, clock, DecisionLog('vm', clock))


def no_regions(failure_domain: str = 'fd-1') -> RegionMap:
    """Return the regions of a site that has none."""
    return RegionMap({}, failure_domain, '')
