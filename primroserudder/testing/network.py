"""A network between parties in one process, with partitions and pauses."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..errors import RudderError

PAUSE_STEP_S = 0.05


class Unreachable(RudderError):
    """The network passes no message between the parties."""

    code = 'unreachable'


@dataclass(slots=True)
class Network:
    """The paused and partitioned parties, and the message delay.

    Explanation
    ===========
    The messages from and to a paused party wait while the clock advances.
    A pause can therefore fall between a check and the message that the check
    permits.
    """

    rng: random.Random
    delay_s: float = 0.002
    paused: set[str] = field(default_factory=set)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)

    def cut(self, parties: Iterable[str], others: Iterable[str]) -> None:
        """Partition each of the parties from each of the others."""
        other_parties = tuple(others)
        self.cut_pairs |= {
            frozenset((party, other))
            for party in parties
            for other in other_parties
        }

    def mend(self) -> None:
        """End all partitions."""
        self.cut_pairs.clear()

    async def resume(self, party: str) -> None:
        """Wait until a party is not paused."""
        while party in self.paused:
            await asyncio.sleep(PAUSE_STEP_S)

    async def carry(self, sender: str, receiver: str) -> None:
        """Delay one message; raise ``Unreachable`` if it is lost."""
        await self.resume(sender)
        await asyncio.sleep(self.delay_s * (1 + self.rng.random()))
        self.check(sender, receiver)

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass between two parties."""
        is_cut = frozenset((sender, receiver)) in self.cut_pairs
        return not is_cut and self.dead.isdisjoint((sender, receiver))

    def check(self, sender: str, receiver: str) -> None:
        """Raise ``Unreachable`` if two parties are partitioned or dead."""
        if not self.is_open(sender, receiver):
            raise Unreachable(f'{sender} cannot reach {receiver}')
