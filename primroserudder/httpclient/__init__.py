"""The HTTP client of all programs, for peers that may be faulty.

Explanation
===========
``session`` opens the sessions with which every process reads responses, and
``responsehandler`` reads them with bounds, over aiohttp. ``boundedbody`` reads
a whole body up to a largest size.
"""

from .boundedbody import BodyTooLong, read_bounded
from .session import CALL_TIMEOUT_S, close_idle_connections, open_session

__all__ = (
    'CALL_TIMEOUT_S',
    'BodyTooLong',
    'close_idle_connections',
    'open_session',
    'read_bounded',
)
