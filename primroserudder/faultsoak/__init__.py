"""A randomized soak of real router processes under faults from outside.

Explanation
===========
The routers run as processes of their own on loopback addresses. The store,
the engines and the callers are stand-ins in the soak's process, so that what
callers and engines see is known exactly. Proxies stand between all of them.
"""

from .plan import FaultKind, PlannedFault, plan_faults
from .soak import Soak, SoakReport
from .wishes import SoakWishes

__all__ = (
    'FaultKind',
    'PlannedFault',
    'Soak',
    'SoakReport',
    'SoakWishes',
    'plan_faults',
)
