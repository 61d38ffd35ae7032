"""Limits that engines name: the requests a second that they take in all.

Explanation
===========
An engine names its limit in its responses, each of which one router reads.
``registry`` keeps the limits, from own responses and from notices of the
others; ``window`` counts what was sent lately; ``gate`` decides whether a
request may be sent to a limited engine now.
"""

from .gate import LimitGate
from .incarnation import incarnation_key
from .registry import LimitRegistry

__all__ = ['LimitGate', 'LimitRegistry', 'incarnation_key']
