"""Replays load against the router's decision code, in virtual time.

Explanation
===========
Arrivals, engines and callers are models of this package. The code that queues,
refuses and places requests is the router's own. The outcome counts how the
requests ended for their callers.
"""

from .arrivals import Arrival, LoadPattern, draw_arrivals
from .outcome import Ending, Outcome
from .policies import POLICIES, WaitingPolicy
from .replay import Replay

__all__ = (
    'POLICIES',
    'Arrival',
    'Ending',
    'LoadPattern',
    'Outcome',
    'Replay',
    'WaitingPolicy',
    'draw_arrivals',
)
