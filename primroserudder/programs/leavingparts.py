"""Wires the part of a controller that carries out stops and roll-outs."""

from ..connection.enginehttp import EngineHttp
from ..process.drains import GroupDrainer, NoUses, Uses
from ..process.lease import Lease
from ..process.leaving import Leaving
from ..process.rolloutrows import RolloutRows
from .node import NodeRuntime


def make_leaving(
    runtime: NodeRuntime,
    lease: Lease,
    uses: Uses | None = None,
) -> Leaving:
    """Return the part for the failure domain of a lease."""
    return Leaving(
        platform=runtime.platform,
        holder=runtime.holder,
        drainer=GroupDrainer(
            engines=EngineHttp(runtime.session),
            lease=lease,
            clock=runtime.clock,
            uses=uses or NoUses(),
        ),
        invariants=runtime.invariants,
        rollouts=RolloutRows(runtime.platform, lease.failure_domain),
    )
