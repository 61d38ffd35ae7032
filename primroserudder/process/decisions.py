"""The decision log, which writes one JSON line per decision.

Explanation
===========
A line holds a decision, what it is about, for example a request, and the
inputs that led to it. A token bucket limits the rate of lines; lines above
the limit are dropped, and the next line that is written holds their number.
A write to standard output never blocks on a slow reader.
"""

import os
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
from loguru import logger

from .clock import Clock, SystemClock

if TYPE_CHECKING:
    from loguru import Message, Record

LINES_PER_S = 200.0
BURST_LINES = 600.0


@dataclass(slots=True)
class DecisionLog:
    """Writes decisions through loguru, with a limited rate of lines."""

    node: str = ''
    clock: Clock = field(default_factory=SystemClock)
    lines_per_s: float = LINES_PER_S
    burst_lines: float = BURST_LINES
    written: int = 0
    dropped: int = 0
    _dropped_since_last: int = 0
    _tokens: float = BURST_LINES
    _refilled_at: float = 0

    def note(self, decision: str, **inputs: object) -> None:
        """Write one line, or count it as dropped if the limit is reached."""
        if not self._take_token():
            self.dropped += 1
            self._dropped_since_last += 1
            return
        self.written += 1
        line = {'node': self.node, 'decision': decision, **inputs}
        if self._dropped_since_last:
            line['dropped_before'] = self._dropped_since_last
            self._dropped_since_last = 0
        logger.bind(line=line).info(decision)

    def _take_token(self) -> bool:
        now = self.clock.monotonic()
        refilled = (now - self._refilled_at) * self.lines_per_s
        self._tokens = min(self.burst_lines, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def log_to_stdout(level: str = 'INFO') -> None:
    """Send log lines to standard output without blocking on its reader."""
    logger.remove()
    try:
        os.set_blocking(sys.stdout.fileno(), False)
    except (OSError, ValueError):
        logger.remove()
    logger.add(_write, level=level, format=_one_line, catch=True)


def _write(message: 'Message') -> None:
    try:
        os.write(sys.stdout.fileno(), message.encode())
    except BlockingIOError:
        return


def _one_line(record: 'Record') -> str:
    line = record['extra'].get('line', {'text': record['message']})
    stamped = {
        'time': round(record['time'].timestamp(), 3),
        'level': record['level'].name,
        **line,
    }
    text = orjson.dumps(stamped, default=str).decode()
    # loguru formats the returned string again, so it holds a placeholder.
    record['extra']['json'] = text
    return '{extra[json]}\n'
