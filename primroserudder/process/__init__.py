"""What lives as long as a process: clocks, settings, platform, groups.

Explanation
===========
The modules here don't import the other subpackages, but for ``controller``
and what it uses, which read the configuration; those are not re-exported.
"""

from .clock import Clock, LoopClock, SystemClock
from .engines import EngineClient, EngineOrder, EngineStatus
from .invariants import Invariants
from .metrics import Metrics
from .platform import PlatformClient, Transaction
from .settings import ControllerSettings, EntrySettings, read_settings
from .state import StateDump

__all__ = (
    'Clock',
    'ControllerSettings',
    'EngineClient',
    'EngineOrder',
    'EngineStatus',
    'EntrySettings',
    'Invariants',
    'LoopClock',
    'Metrics',
    'PlatformClient',
    'StateDump',
    'SystemClock',
    'Transaction',
    'read_settings',
)
