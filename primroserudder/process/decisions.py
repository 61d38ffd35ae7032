"""The log of decisions: one JSON line for each, to standard output.

Explanation
===========
A line tells what was decided, for which request or belief, and the inputs
that decided it. The volume is bounded: a bucket of lines refills at a fixed
rate, and what exceeds it is counted and told in a later line. A write never
waits for whoever reads the output.
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
    """Writes decisions through loguru, at most so many a second."""

    node: str = ''
    clock: Clock = field(default_factory=SystemClock)
    lines_per_s: float = LINES_PER_S
    burst_lines: float = BURST_LINES
    written: int = 0
    dropped: int = 0
    _untold: int = 0
    _level: float = BURST_LINES
    _filled_at: float = 0

    def note(self, decision: str, **inputs: object) -> None:
        """Write one line, or count it as dropped."""
        if not self._take():
            self.dropped += 1
            self._untold += 1
            return
        self.written += 1
        line = {'node': self.node, 'decision': decision, **inputs}
        if self._untold:
            line['dropped_before'] = self._untold
            self._untold = 0
        logger.bind(line=line).info(decision)

    def _take(self) -> bool:
        now = self.clock.monotonic()
        gained = (now - self._filled_at) * self.lines_per_s
        self._level = min(self.burst_lines, self._level + gained)
        self._filled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


def log_to_stdout(level: str = 'INFO') -> None:
    """Send lines to standard output without ever waiting for its reader."""
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
    # loguru formats what is returned here once more.
    record['extra']['json'] = text
    return '{extra[json]}\n'
