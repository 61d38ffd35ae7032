"""Demand: how many groups of each model the load needs.

Explanation
===========
``groupload`` says how many requests a group serves well at a time, ``meter``
tracks the load and turns it into wanted groups. Both decide only; the lease
holder's reconciler acts on them.
"""

from .groupload import usable_requests
from .meter import MIN_INITIAL_SHARE, DemandMeter, initial_groups

__all__ = (
    'MIN_INITIAL_SHARE',
    'DemandMeter',
    'initial_groups',
    'usable_requests',
)
