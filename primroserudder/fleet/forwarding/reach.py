"""Finds out whether this VM has lost its links to all engines.

Explanation
===========
Engines that refuse connections are nothing unusual; a whole failure domain may
be dark, or cut off with this VM in it. A VM that can connect to none of several
engines of its own failure domain and of others, twice in a row, has lost its
own links. Connections that were open before prove nothing, since they may live
on while new ones fail: each probe makes a new one. An engine that accepts it
and pauses is reached.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ...platform.orders import EngineOrders
from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.loops import cancel_on_exit
from ..directory import Directory
from ..model import Engine
from ..retries import Ending

# So many engines without a connection raise the question.
FAILURES_TO_PROBE = 2
# Failed connections raise it again only so long after an engine answered, so
# that a dead failure domain costs few probes.
ANSWER_LIFETIME_S = 0.3
# Failures count together for this long.
FAILURE_MEMORY_S = 1.5
# Engines that are probed at once: of this VM's failure domain, and one each of
# some others.
OWN_PROBES = 2
OTHER_DOMAINS_PROBED = 4
# The second round tells lost links from a process that was held up.
ROUNDS_TO_LOSE = 2
PROBE_INTERVAL_S = 0.25
# The links count as restored after this many rounds with an answer.
ROUNDS_TO_RETURN = 2
_RESPONDED = frozenset((Ending.DELIVERED, Ending.NOT_RUN, Ending.FAILED))


@dataclass(slots=True)
class EngineReach:
    """Whether this VM reaches any engine.

    Parameters
    ==========
    is_cut_off : bool
        Whether no engine could be reached from this VM.
    cut_off_since : float
        Monotonic time in seconds at which that began last.
    in_doubt : Event
        Set while this VM may have lost all engines, or has.
    reached_since : float
        Monotonic time in seconds before which this VM was cut off last; what
        it found silent until then may have been its own links.
    """

    orders: EngineOrders
    directory: Directory
    clock: Clock
    log: DecisionLog
    failure_domain: str
    is_cut_off: bool = False
    cut_off_since: float = float('-inf')
    reached_since: float = float('-inf')
    rng: random.Random = field(default_factory=random.Random)
    _failed_at_by_engine: dict[str, float] = field(default_factory=dict)
    in_doubt: asyncio.Event = field(default_factory=asyncio.Event)
    _answered_at: float = float('-inf')
    _settled: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_in_doubt(self) -> bool:
        """Return whether this VM may have lost all engines."""
        return self.in_doubt.is_set()

    def note(self, engine_id: str, ending: Ending, began_at: float) -> None:
        """Record the end of an attempt at an engine.

        Parameters
        ==========
        began_at : float
            Monotonic time at which the attempt began, in seconds.
        """
        if ending is Ending.NOT_SENT:
            self.note_failure(engine_id)
        elif ending in _RESPONDED:
            self._forget_failures_before(began_at)

    def note_failure(self, engine_id: str) -> None:
        """Record that an engine could not be reached."""
        now = self.clock.monotonic()
        self._forget_failures_before(now - FAILURE_MEMORY_S)
        self._failed_at_by_engine[engine_id] = now
        listed = len(self.directory.engines_by_id)
        are_many = len(self._failed_at_by_engine) >= min(
            FAILURES_TO_PROBE, listed
        )
        if are_many and now - self._answered_at >= ANSWER_LIFETIME_S:
            self.doubt()

    def doubt(self) -> None:
        """Find out whether this VM reaches any engine."""
        if not self.in_doubt.is_set():
            self.in_doubt.set()
            self._settled.clear()

    async def settled(self) -> None:
        """Wait until it is known whether this VM reaches any engine."""
        await self._settled.wait()

    async def run(self) -> None:
        """Probe engines whenever in doubt, until cancelled."""
        while True:
            await self.in_doubt.wait()
            if not await self._reaches_any_of_rounds():
                await self._wait_while_cut_off()
                self._failed_at_by_engine.clear()
            self.in_doubt.clear()
            self._settled.set()

    async def _wait_while_cut_off(self) -> None:
        self.is_cut_off = True
        self.cut_off_since = self.clock.monotonic()
        self._settled.set()
        self.log.note('engines_lost', failed=sorted(self._failed_at_by_engine))
        rounds = 0
        while rounds < ROUNDS_TO_RETURN:
            await asyncio.sleep(PROBE_INTERVAL_S)
            rounds = rounds + 1 if await self._reaches_any() else 0
        self.is_cut_off = False
        self.reached_since = self.clock.monotonic()
        self.log.note('engines_reached')

    async def _reaches_any_of_rounds(self) -> bool:
        for _ in range(ROUNDS_TO_LOSE):
            if await self._reaches_any():
                return True
        return False

    async def _reaches_any(self) -> bool:
        """Return whether any of some engines accepts a new connection."""
        probed = self._drawn()
        if not probed:
            return True
        probes = [
            asyncio.ensure_future(self.orders.accepts_connection(engine))
            for engine in probed
        ]
        async with cancel_on_exit(*probes):
            for probe in asyncio.as_completed(probes):
                if await probe:
                    self._answered_at = self.clock.monotonic()
                    return True
        return False

    def _drawn(self) -> Sequence[Engine]:
        engines_by_domain: defaultdict[str, list[Engine]] = defaultdict(list)
        for engine in self.directory.engines_by_id.values():
            engines_by_domain[engine.failure_domain].append(engine)
        own = engines_by_domain.pop(self.failure_domain, [])
        others = self.rng.sample(
            sorted(engines_by_domain),
            min(OTHER_DOMAINS_PROBED, len(engines_by_domain)),
        )
        return (
            *self.rng.sample(own, min(OWN_PROBES, len(own))),
            *(self.rng.choice(engines_by_domain[domain]) for domain in others),
        )

    def _forget_failures_before(self, time: float) -> None:
        self._failed_at_by_engine = {
            engine_id: failed_at
            for engine_id, failed_at in self._failed_at_by_engine.items()
            if failed_at >= time
        }
