"""Bodies of requests that are under way, and which of them are slow."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from aiohttp import StreamReader

from .budget import RETRY_AFTER_S, Holding, MemoryFull
from .limits import BodyTooLarge

# A body that takes longer than SLOW_AFTER_S for so many bytes may give way.
PACE_BYTES = 4096
SLOW_AFTER_S = 0.1


@dataclass(slots=True, eq=False)
class BodyUnderWay:
    """A body that is being read.

    Parameters
    ==========
    paced_at : float
        When the last whole ``PACE_BYTES`` had arrived, a time of the event
        loop.
    """

    incoming: StreamReader
    holding: Holding
    paced_at: float
    paced_bytes: int = 0
    octets: bytearray = field(default_factory=bytearray, init=False)
    has_given_way: bool = field(default=False, init=False)

    def expect(self, length: int, max_bytes: int) -> None:
        """Hold room for the length that a head gives, zero for none.

        Raises
        ======
        BodyTooLarge
            The length exceeds ``max_bytes``.
        MemoryFull
            There is no room for the body.
        """
        if length > max_bytes:
            raise _too_large(max_bytes)
        self.holding.hold_body(length)

    def note(self, received: int) -> None:
        """Note how many bytes have arrived so far."""
        if received - self.paced_bytes >= PACE_BYTES:
            self.paced_bytes = received
            self.paced_at = asyncio.get_running_loop().time()

    def is_slow(self, now: float) -> bool:
        """Return whether it may give way to whole requests."""
        return now - self.paced_at >= SLOW_AFTER_S

    def release(self) -> None:
        """Free what has arrived, which frames of a traceback may still hold."""
        self.octets = bytearray()

    def give_way(self) -> None:
        """Refuse its request, which has not run, and free what it holds."""
        self.has_given_way = True
        self.release()
        self.holding.close()
        fail_body(
            self.incoming,
            MemoryFull(
                'the memory of this VM is in use, and the body is slow',
                retry_after=RETRY_AFTER_S,
            ),
        )


async def read_all(arriving: BodyUnderWay, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ======
    BodyTooLarge
        The body exceeds ``max_bytes``.
    MemoryFull
        There is no room for the body, or it was slow and gave way.
    """
    async for piece in arriving.incoming.iter_any():
        arriving.octets += piece
        received = len(arriving.octets)
        if received > max_bytes:
            raise _too_large(max_bytes)
        arriving.note(received)
        arriving.holding.hold_body(received)
    return bytes(arriving.octets)


def fail_body(incoming: StreamReader, error: Exception) -> None:
    """Let whoever reads a body get an error; nothing more of it is read."""
    incoming.set_exception(error)
    # Only after the error, so that what has arrived can't look whole.
    incoming.feed_eof()


def slow_first(
    bodies: Iterable[BodyUnderWay], now: float
) -> list[BodyUnderWay]:
    """Return the slow bodies, the slowest first."""
    slow = (
        body for body in bodies if body.is_slow(now) and not body.has_given_way
    )
    return sorted(slow, key=lambda body: body.paced_at)


def _too_large(max_bytes: int) -> BodyTooLarge:
    return BodyTooLarge(f'the request body exceeds {max_bytes} bytes')
