"""The users' platform: its names, formats and calls.

Explanation
===========
Nothing here decides. Rows, header fields and orders are decoded into the
types of ``fleet.model`` and of ``process``, and encoded from them; no other
package knows how the platform spells them.
"""

from .configuration import UnreadableConfiguration, decode_configuration
from .enginelist import EngineReport, decode_engine, decode_report
from .orders import ORDER_TIMEOUT_S, EngineOrders, OrderOutcome
from .session import open_session
from .store import PlatformStore

__all__ = (
    'ORDER_TIMEOUT_S',
    'EngineOrders',
    'EngineReport',
    'OrderOutcome',
    'PlatformStore',
    'UnreadableConfiguration',
    'decode_configuration',
    'decode_engine',
    'decode_report',
    'open_session',
)
