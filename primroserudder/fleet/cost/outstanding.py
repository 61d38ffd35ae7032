"""What each engine still has to read, and the tokens that it holds.

Explanation
===========
The load is one of prompts that arrive together at an engine and are read one
after the other. This router knows exactly what it sent; what the others sent
comes with their notices, in coarse units, so that engines without much work
cost no bytes.
"""

from collections import Counter
from dataclasses import dataclass, field

from ..membership import InFlightCounts

READING_UNIT_S = 0.004
# What takes less time is read before the others hear of it. On four
# seeds of a replay p95 changed by 0.01 s at most; notices grew half as much.
MIN_TOLD_UNITS = 10
# What is left of a sum that should be zero is less than this.
ROUNDING_S = 1e-9
# What the engine's requests hold may be this share of its memory more than
# its notices say.
HIDDEN_SHARE = 8
# Notices are this old, and older on sites with more routers.
MIN_NOTICE_AGE_S = 0.05
NOTICE_AGE_PER_VM_S = 0.002
MAX_NOTICE_AGE_S = 0.3
# Part of an engine's time that goes to prompts while some wait; the rest goes
# to the answers that it writes meanwhile.
READING_SHARE = 0.8


@dataclass(slots=True)
class OutstandingWork:
    """Work of this router's requests, and of all, by engine."""

    counts: InFlightCounts
    _read_s: Counter[str] = field(default_factory=Counter)
    _held: Counter[str] = field(default_factory=Counter)

    def begin_reading(self, engine_id: str, read_s: float) -> None:
        """Count a prompt that an engine has to read."""
        self._read_s[engine_id] += read_s  # type: ignore[assignment]
        self._tell_reading(engine_id)

    def end_reading(self, engine_id: str, read_s: float) -> None:
        """Count a prompt as read."""
        self._read_s[engine_id] -= read_s  # type: ignore[assignment]
        self._tell_reading(engine_id)

    def hold(self, engine_id: str, tokens: int, unit: int) -> None:
        """Count the tokens of a request; negative ones when it ends.

        Parameters
        ==========
        unit : int
            The tokens of a unit in notices, zero to tell nothing.
        """
        held = self._held[engine_id] + tokens
        self._held[engine_id] = held
        if not held:
            self._held.pop(engine_id)
        if unit:
            self.counts.tell_held(engine_id, held // unit)

    def reading_s(self, engine_id: str, key: int, pace: float) -> float:
        """Return the time to read what waits at an engine, at pace 1.

        Parameters
        ==========
        key : int
            The engine's key in notices.

        Explanation
        ===========
        What other routers reported has been read since for as long as their
        notices took.
        """
        own_s = self._read_s.get(engine_id, 0)
        others = self.counts.others_reading.get(key)
        if not others:
            return own_s
        left_s = others * READING_UNIT_S - self._read_since_s() / pace
        return own_s + left_s if left_s > 0 else own_s

    def held_tokens(self, engine_id: str, key: int, unit: int) -> int:
        """Return the most tokens that an engine's requests may hold."""
        others = self.counts.others_running.get(key, 0)
        told = self.counts.others_held.get(key, 0)
        # Each router tells whole units only.
        return self._held.get(engine_id, 0) + (told + others) * unit

    def _read_since_s(self) -> float:
        """Return the time that engines read while notices are on their way."""
        age_s = MIN_NOTICE_AGE_S + NOTICE_AGE_PER_VM_S * self.counts.others_vms
        if age_s > MAX_NOTICE_AGE_S:
            age_s = MAX_NOTICE_AGE_S
        return READING_SHARE * age_s

    def _tell_reading(self, engine_id: str) -> None:
        left_s = self._read_s[engine_id]
        if left_s < ROUNDING_S:
            self._read_s.pop(engine_id)
        units = round(left_s / READING_UNIT_S)
        self.counts.tell_reading(
            engine_id, units if units >= MIN_TOLD_UNITS else 0
        )


def memory_unit(kv_tokens: int, slots: int) -> int:
    """Return the tokens of a unit of memory in notices, zero for no limit.

    Examples
    ========
    >>> memory_unit(700_000, 17), memory_unit(0, 17)
    (5147, 0)
    """
    return kv_tokens // (max(1, slots) * HIDDEN_SHARE)
