"""A randomized soak test that injects faults around router processes.

Explanation
===========
The routers run as separate processes on loopback addresses. The store, the
engines and the callers are stand-ins in the soak's process, so that the soak
records exactly what callers and engines see. All connections pass through
proxies.
"""

from .options import SoakOptions
from .plan import FaultKind, PlannedFault, plan_faults
from .soak import Soak, SoakReport

__all__ = (
    'FaultKind',
    'PlannedFault',
    'Soak',
    'SoakOptions',
    'SoakReport',
    'plan_faults',
)
