"""Limits of engines: the requests a second that they take in all.

Explanation
===========
An engine names its limit in its responses, each of which one router reads.
``registry`` keeps the limits, from own responses and from notices of the
others; ``window`` counts what was sent lately; ``gate`` decides whether a
request may be sent to a limited engine now.

An engine that is cold has a limit too, which ends by itself: ``cold`` knows
which engines are cold, ``coldlimit`` decides.
"""

from .assembly import build_limit_gate
from .cold import ColdEngines
from .coldlimit import ColdLimit
from .coldservices import ColdServices
from .gate import LimitGate
from .incarnation import incarnation_key
from .registry import LimitRegistry
from .sitesize import SiteSize

__all__ = [
    'ColdEngines',
    'ColdLimit',
    'ColdServices',
    'LimitGate',
    'LimitRegistry',
    'SiteSize',
    'build_limit_gate',
    'incarnation_key',
]
