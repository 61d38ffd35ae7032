"""Membership: which routers live, and what they tell each other.

Explanation
===========
The routers of a failure domain form a tree in which every VM has a bounded
number of neighbours; the roots speak for their domains. ``tree`` decides who is
whose parent, ``exchange`` sends and receives the notices, ``in_flight`` keeps
the sums of the load. Nothing here needs agreement: that goes through the store.
"""

from .assembly import build_exchange
from .exchange import Exchange
from .in_flight import InFlightCounts
from .keys import short_key
from .limitreport import LimitReport
from .nodes import NodeRegistry
from .notice import KEYS, Facts, LimitNews, LoadPart, Strikes
from .peeraddresses import Peer, PeerAddresses

__all__ = [
    'KEYS',
    'Exchange',
    'Facts',
    'InFlightCounts',
    'LimitNews',
    'LimitReport',
    'LoadPart',
    'NodeRegistry',
    'Peer',
    'PeerAddresses',
    'Strikes',
    'build_exchange',
    'short_key',
]
