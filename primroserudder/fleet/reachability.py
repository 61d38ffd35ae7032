"""Probes engines whose streams are stalled.

Explanation
===========
The platform's list shows a loss only some seconds later. If all streams of a
head are stalled, the members of its group are probed. An engine that does not
answer two probes counts as lost, and the other engines of its fabric domain
are probed too, since a whole domain may become unreachable.
"""

from collections.abc import Callable, Collection, Coroutine, Iterable
from dataclasses import dataclass, field

from ..platform.orders import EngineOrders
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .directory import Directory
from .forwarding import EngineReach
from .model import Engine

# The list entry of a lost engine expires in about this time; from then on the
# list is the better source.
UNREACHABLE_S = 4.0
PROBE_INTERVAL_S = 0.4
PROBE_ATTEMPTS = 2

Start = Callable[[Coroutine[object, object, None]], None]


@dataclass(slots=True)
class ReachabilityTracker:
    """Probes engines and tracks those that do not answer."""

    orders: EngineOrders
    directory: Directory
    clock: Clock
    log: DecisionLog
    start: Start
    on_change: Callable[[], None]
    is_holder: Callable[[], bool]
    reach: EngineReach
    _unreachable_until: dict[str, float] = field(default_factory=dict)
    _lost: set[str] = field(default_factory=set)
    _probed_at: dict[str, float] = field(default_factory=dict)
    _probed_again_at: dict[str, float] = field(default_factory=dict)

    def unreachable(self) -> set[str]:
        """Return the ids of engines that seem to be lost.

        Explanation
        ===========
        None are while this VM has lost its links to all engines, and no
        further ones while it may have.
        """
        if self.reach.is_cut_off:
            return set()
        unanswered = self.unanswered()
        if not self.reach.is_in_doubt:
            trusted_until = self.reach.reached_since + UNREACHABLE_S
            self._lost = {
                engine_id
                for engine_id in unanswered
                if self._unreachable_until[engine_id] >= trusted_until
            }
        return self._lost & unanswered

    def unanswered(self) -> set[str]:
        """Return the ids of engines that recently did not answer this VM."""
        now = self.clock.monotonic()
        return {
            engine_id
            for engine_id, until in self._unreachable_until.items()
            if until > now
        }

    def probe(self, trigger: str, engine_ids: Iterable[str]) -> None:
        """Start to probe engines, at most once per interval and trigger."""
        now = self.clock.monotonic()
        if now - self._probed_at.get(trigger, 0) < PROBE_INTERVAL_S:
            return
        self._probed_at[trigger] = now
        for engine_id in engine_ids:
            self.start(self._probe_engine(engine_id))

    def probe_unreachable(self) -> None:
        """Start to probe the unreachable engines again, once per interval."""
        now = self.clock.monotonic()
        for engine_id in self.unanswered():
            probed_at = self._probed_again_at.get(engine_id, 0)
            if now - probed_at >= PROBE_INTERVAL_S:
                self._probed_again_at[engine_id] = now
                self.start(self._probe_again(engine_id))

    async def _probe_again(self, engine_id: str) -> None:
        engine = self.directory.engines_by_id.get(engine_id)
        if engine is None or await self.orders.report(engine) is None:
            return
        if self._unreachable_until.pop(engine_id, None) is not None:
            self.log.note('engine_reachable', engine=engine_id)
            self.on_change()

    async def _probe_engine(self, engine_id: str) -> None:
        engine = self.directory.engines_by_id.get(engine_id)
        if engine is None:
            return
        for _ in range(PROBE_ATTEMPTS):
            if await self.orders.report(engine) is not None:
                self._unreachable_until.pop(engine_id, None)
                return
        now = self.clock.monotonic()
        is_new_loss = self._unreachable_until.get(engine_id, 0) <= now
        if is_new_loss:
            self.reach.doubt()
            await self.reach.settled()
        self._unreachable_until[engine_id] = now + UNREACHABLE_S
        if is_new_loss:
            self.log.note('engine_unreachable', engine=engine_id)
            if self.is_holder():
                self._probe_neighbours(engine)
        self.on_change()

    def _probe_neighbours(self, lost: Engine) -> None:
        neighbours: Collection[str] = [
            engine.engine_id
            for engine in self.directory.engines_by_id.values()
            if engine.fabric_domain == lost.fabric_domain
            and engine.service == lost.service
        ]
        self.probe(f'domain {lost.service} {lost.fabric_domain}', neighbours)
