"""Forwarding of requests by routers that lost their links to the engines.

Explanation
===========
Such a router is still reached by callers and by the other routers. ``reach``
finds out whether this router reaches engines, ``peers`` which others do, and
``messages`` holds what two routers tell each other of a request. A request is
forwarded once at most: a router never forwards what was forwarded to it.

The router that forwards treats the other one like an engine that does all the
attempts that are left. It charges its own retry budget for a second router,
unless the first one says that no engine received the request, and the other one
its own for a second engine, so that each arrival at an engine beyond the first
is paid once.
"""

from .forwarder import Forwarder
from .messages import (
    forwarded_attempts,
    headers_for_router,
    headers_of_forwarded,
    mark_not_run,
)
from .peers import ReachingPeers
from .port import RouterPort
from .reach import EngineReach

__all__ = [
    'EngineReach',
    'Forwarder',
    'ReachingPeers',
    'RouterPort',
    'forwarded_attempts',
    'headers_for_router',
    'headers_of_forwarded',
    'mark_not_run',
]
