"""The HTTP client of all programs, for peers that may be faulty.

Explanation
===========
``session`` opens the sessions with which every process reads responses.
``heads``, ``framing`` and ``chunks`` say what a response is, and
``responsehandler`` reads them with bounds, over aiohttp. ``boundedbody`` reads
a whole body up to a largest size.
"""

from .boundedbody import PIECE_BYTES, BodyTooLong, read_bounded, read_pieces
from .errors import BrokenResponse
from .session import CALL_TIMEOUT_S, close_idle_connections, open_session

__all__ = (
    'CALL_TIMEOUT_S',
    'PIECE_BYTES',
    'BodyTooLong',
    'BrokenResponse',
    'close_idle_connections',
    'open_session',
    'read_bounded',
    'read_pieces',
)
