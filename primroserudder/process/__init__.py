"""Parts of a process: clock, settings, platform client, group state.

Explanation
===========
The modules here don't import the other subpackages, except ``controller``
and the modules it uses, which read the configuration. Those are not
re-exported here.
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
