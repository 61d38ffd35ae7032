"""Which other routers reach engines, while this one may not."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ..membership import PeerAddresses
from ..model import Target
from ..retries import Ending
from .messages import REACH_PATH, STOPPING

# Routers are asked at this interval, so many at once.
ASK_INTERVAL_S = 0.25
ASKED_AT_ONCE = 8
ASK_TIMEOUT_S = 0.2
# An answer counts for this long.
ANSWER_LIFETIME_S = 1.0
# A router that did not answer so often in a row loses what runs there.
MISSES_TO_LOSE = 3
# Requests of all VMs that one router takes from others at a time.
SLOTS_PER_ROUTER = 100
_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(slots=True)
class ReachingPeers:
    """Asks the other routers whether they reach engines.

    Parameters
    ==========
    needed : Event
        Set while this VM may need other routers.
    on_lost : Callable
        Takes the target id of a router that does not answer any more.
    """

    session: aiohttp.ClientSession
    peers: PeerAddresses
    clock: Clock
    log: DecisionLog
    needed: asyncio.Event
    on_lost: Callable[[str], None]
    rng: random.Random = field(default_factory=random.Random)
    _reaching_until: dict[str, float] = field(default_factory=dict)
    _misses: Counter[str] = field(default_factory=Counter)
    _targets: Sequence[Target] = ()

    async def run(self) -> None:
        """Ask while it is needed, until cancelled."""
        while True:
            await self.needed.wait()
            while self.needed.is_set():
                await self._ask_some()
                await asyncio.sleep(ASK_INTERVAL_S)
            self._reaching_until.clear()
            self._misses.clear()

    def targets(self) -> Sequence[Target]:
        """Return the routers that reach engines, as targets of requests."""
        now = self.clock.monotonic()
        reaching = [
            address
            for address, until in self._reaching_until.items()
            if until > now
        ]
        if [target.address for target in self._targets] != reaching:
            self._targets = tuple(map(self._target, reaching))
        return self._targets

    def note(self, target: Target, ending: Ending) -> None:
        """Leave out a router that could not be reached."""
        if ending is Ending.NOT_SENT:
            self._reaching_until.pop(target.address, None)

    async def _ask_some(self) -> None:
        await asyncio.gather(*map(self._ask, self._to_ask()))

    def _to_ask(self) -> Sequence[str]:
        """Return the routers to ask: known ones, and others at random."""
        known = tuple({**self._reaching_until, **self._misses})
        unknown = [
            address
            for address in self.peers.addresses()
            if address not in known
        ]
        count = min(ASKED_AT_ONCE, len(unknown))
        return (*known[:ASKED_AT_ONCE], *self.rng.sample(unknown, count))

    async def _ask(self, address: str) -> None:
        status = await self._status(address)
        if status == HTTPStatus.OK:
            until = self.clock.monotonic() + ANSWER_LIFETIME_S
            if address not in self._reaching_until:
                self.log.note('router_reaches_engines', router=address)
            self._reaching_until[address] = until
            self._misses.pop(address, None)
            return
        was_reaching = self._reaching_until.pop(address, None) is not None
        if status == STOPPING or not (was_reaching or self._misses[address]):
            # What runs at a router that stops ends there.
            self._misses.pop(address, None)
            return
        self._misses[address] += 1
        if self._misses[address] == MISSES_TO_LOSE:
            self._misses.pop(address)
            self.log.note('router_lost', router=address, misses=MISSES_TO_LOSE)
            self.on_lost(_target_id(address))

    async def _status(self, address: str) -> int:
        """Return what a router answers, zero if it doesn't."""
        try:
            async with self.session.get(
                f'http://{address}{REACH_PATH}',
                timeout=aiohttp.ClientTimeout(total=ASK_TIMEOUT_S),
            ) as response:
                return response.status
        except _ERRORS:
            return 0

    def _target(self, address: str) -> Target:
        return Target(
            _target_id(address),
            address,
            self.peers.domain_of(address),
            SLOTS_PER_ROUTER,
            is_router=True,
        )


def _target_id(address: str) -> str:
    return f'router/{address}'
