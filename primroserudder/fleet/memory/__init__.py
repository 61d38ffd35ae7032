"""Bounds what a router holds for callers and engines that read slowly.

Explanation
===========
``budget`` sums bytes over all requests and connections, ``slowcallers`` decides
which callers lose their connection, and ``watch`` looks at the connections and
closes them. All ports share one budget, so both hops of a forwarded request
count, each at its router.
"""

from ...intake import ConnectionRegister
from ...intake.budget import Holding, MemoryBudget, MemoryFull
from .slowcallers import CutReason
from .watch import CallerTooSlow, ConnectionWatch, build_watch

__all__ = [
    'CallerTooSlow',
    'ConnectionRegister',
    'ConnectionWatch',
    'CutReason',
    'Holding',
    'MemoryBudget',
    'MemoryFull',
    'build_watch',
]
