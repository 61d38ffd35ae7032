"""Bounds what peers may make a process hold before they are served.

Explanation
===========
``budget`` sums all bytes that a process holds for others. ``connection`` counts
what arrives on a connection and refuses heads without an end, ``headmeter``
says what a head weighs, ``bodies`` knows the bodies under way, and ``register``
decides which connections give way to whole requests. ``descriptors`` says how
many there may be, and ``newcomers`` finds one for a new connection, which may
have to be ``waiting`` for it. ``refusing`` lets peers read why they are
refused. ``server`` and ``runner`` make the connections of a port.
"""

from .bodies import BodyUnderWay
from .budget import Holding, MemoryBudget, MemoryFull
from .connection import IntakeConnection
from .descriptors import DescriptorBudget
from .limits import HeadTooLarge, HeadTooSlow, IntakeLimits
from .register import ConnectionRegister, Surroundings

__all__ = [
    'BodyUnderWay',
    'ConnectionRegister',
    'DescriptorBudget',
    'HeadTooLarge',
    'HeadTooSlow',
    'Holding',
    'IntakeConnection',
    'IntakeLimits',
    'MemoryBudget',
    'MemoryFull',
    'Surroundings',
]
