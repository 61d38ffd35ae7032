"""Wires the part of a controller that carries out stops and roll-outs."""

from ..connection.enginehttp import EngineHttp
from ..process.draincoordinator import DrainCoordinator
from ..process.drains import GroupDrainer, InFlightCounts, NoInFlightCounts
from ..process.lease import Lease
from ..process.rolloutrows import RolloutRows
from .node import NodeRuntime


def make_leaving(
    runtime: NodeRuntime,
    lease: Lease,
    uses: InFlightCounts | None = None,
) -> DrainCoordinator:
    """Return the drain coordinator for the failure domain of a lease."""
    return DrainCoordinator(
        platform=runtime.platform,
        holder=runtime.holder,
        drainer=GroupDrainer(
            engines=EngineHttp(runtime.session),
            lease=lease,
            clock=runtime.clock,
            in_flight_counts=uses or NoInFlightCounts(),
        ),
        invariants=runtime.invariants,
        rollouts=RolloutRows(runtime.platform, lease.failure_domain),
    )
