"""A network between parties in one process, with cuts and pauses."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..errors import RudderError

PAUSE_STEP_S = 0.05


class Unreachable(RudderError):
    """The parties are cut off from each other."""

    code = 'unreachable'


@dataclass(slots=True)
class Network:
    """Which parties are paused or cut off, and how long a message takes.

    Explanation
    ===========
    A paused party's messages wait, both those that it has just decided to
    send and the answers to it, while the clock runs on. So a pause falls
    between a check and the message that the check permits.
    """

    rng: random.Random
    delay_s: float = 0.002
    paused: set[str] = field(default_factory=set)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)

    def cut(self, ones: Iterable[str], others: Iterable[str]) -> None:
        """Cut each of some parties off from each of some others."""
        theirs = tuple(others)
        self.cut_pairs |= {
            frozenset((one, two)) for one in ones for two in theirs
        }

    def mend(self) -> None:
        """End all cuts."""
        self.cut_pairs.clear()

    async def resume(self, party: str) -> None:
        """Wait while a party is paused."""
        while party in self.paused:
            await asyncio.sleep(PAUSE_STEP_S)

    async def carry(self, sender: str, receiver: str) -> None:
        """Carry one message, or raise if it is lost."""
        await self.resume(sender)
        await asyncio.sleep(self.delay_s * (1 + self.rng.random()))
        self.check(sender, receiver)

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass between two parties."""
        is_cut = frozenset((sender, receiver)) in self.cut_pairs
        return not is_cut and self.dead.isdisjoint((sender, receiver))

    def check(self, sender: str, receiver: str) -> None:
        """Raise if no message passes between two parties."""
        if not self.is_open(sender, receiver):
            raise Unreachable(f'{sender} does not reach {receiver}')
