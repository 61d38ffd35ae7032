"""Replays load against the router's own decisions, in virtual time.

Explanation
===========
Arrivals, engines and callers are models of this package; how requests wait,
are refused and are placed is the code that runs in the router. What is counted
is what callers got.
"""

from .arrivals import Arrival, LoadPattern, draw_arrivals
from .outcome import Outcome, Served
from .policies import POLICIES, WaitingPolicy
from .replay import Replay

__all__ = (
    'POLICIES',
    'Arrival',
    'LoadPattern',
    'Outcome',
    'Replay',
    'Served',
    'WaitingPolicy',
    'draw_arrivals',
)
