"""The cost of requests, by which targets are chosen.

Explanation
===========
The load is one of requests that look alike and cost engines very different
amounts of work. ``estimate`` says what a request is likely to take,
``answers`` learns it from finished ones; ``outstanding`` holds what engines
still have to do, ``pace`` how slow each of them is; ``rating`` compares
targets, and ``accuracy`` says how far its predictions are off. ``costs`` puts
them together. Nothing here reads sockets, clocks or rows.
"""

from .costs import CostedRequest, RequestCosts, StreamTimes
from .estimate import RequestSize, Work, WorkEstimator
from .rating import CostRating

__all__ = [
    'CostRating',
    'CostedRequest',
    'RequestCosts',
    'RequestSize',
    'StreamTimes',
    'Work',
    'WorkEstimator',
]
