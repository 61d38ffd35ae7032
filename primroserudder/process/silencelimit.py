"""A limit on how long an answer may be silent, not on how long it takes.

Explanation
===========
An answer that is still arriving is worth more than a new one: to give it up
loses what has arrived, and its bytes take up the links all the same. A limit
on the whole answer is therefore far longer than one on its silence.

A process that was held up finds its timers run out although bytes arrived in
the meantime. So a timer that fires late gives the answer another moment.
"""

import asyncio
from dataclasses import dataclass, field
from types import TracebackType

# A timer that fires so late was held up together with the answer.
LATE_S = 0.05
# How long an answer is then waited for again, and how often at most.
SECOND_CHANCE_S = 0.2
MAX_SECOND_CHANCES = 5


@dataclass(slots=True)
class SilenceLimit:
    """Ends a block with ``TimeoutError`` if its answer does not arrive.

    Parameters
    ==========
    first_s : float
        How long the head of the answer may take, in seconds.
    silence_s : float
        How long nothing may arrive after that, in seconds.
    whole_s : float
        How long the answer may arrive in all, in seconds.
    """

    first_s: float
    silence_s: float
    whole_s: float
    _timeout: asyncio.Timeout = field(
        default_factory=lambda: asyncio.timeout(None)
    )
    _timer: asyncio.TimerHandle | None = None
    _heard_at: float = 0
    _head_at: float | None = None
    _second_chances: int = 0

    async def __aenter__(self) -> 'SilenceLimit':
        """Begin to wait for the head."""
        await self._timeout.__aenter__()
        self._heard_at = _now()
        self._schedule(self._heard_at + self.first_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the limit.

        Raises
        ======
        TimeoutError
            The limit ended the block.
        """
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def note_head(self) -> None:
        """Record that the head of the answer has arrived."""
        self._head_at = _now()
        self.note_arrival()

    def note_arrival(self) -> None:
        """Record that bytes have arrived."""
        self._heard_at = _now()

    def _silent_until(self) -> float:
        if self._head_at is None:
            return self._heard_at + self.first_s
        return min(
            self._heard_at + self.silence_s, self._head_at + self.whole_s
        )

    def _check(self) -> None:
        now = _now()
        silent_until = self._silent_until()
        if now < silent_until:
            self._schedule(silent_until)
        elif self._was_held_up(now):
            self._second_chances += 1
            self._schedule(now + SECOND_CHANCE_S)
        else:
            self._timeout.reschedule(now)

    def _was_held_up(self, now: float) -> bool:
        late_s = now - self._timer.when() if self._timer else 0
        return late_s > LATE_S and self._second_chances < MAX_SECOND_CHANCES

    def _schedule(self, at: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(at, self._check)


def _now() -> float:
    return asyncio.get_running_loop().time()
