"""Which engines answer, asked when streams stand still.

Explanation
===========
The platform's list shows a loss some seconds after it. A head whose streams
all pause gives rise to a question to the members of its group; an engine
that leaves two questions unanswered counts as lost, and its neighbours in
the fabric domain are asked as well, since a domain can go dark as a whole.
"""

from collections.abc import Callable, Collection, Coroutine, Iterable
from dataclasses import dataclass, field

from ..platform.orders import EngineOrders
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .directory import Directory
from .model import Engine

# A list's entry lapses in about this time, which then tells more.
UNREACHABLE_S = 4.0
PROBE_INTERVAL_S = 0.4
PROBES = 2

Start = Callable[[Coroutine[object, object, None]], None]


@dataclass(slots=True)
class ReachabilityTracker:
    """Asks engines for their reports and remembers who gave none."""

    orders: EngineOrders
    directory: Directory
    clock: Clock
    log: DecisionLog
    start: Start
    on_loss: Callable[[], None]
    is_holder: Callable[[], bool]
    _unreachable_until: dict[str, float] = field(default_factory=dict)
    _asked_at: dict[str, float] = field(default_factory=dict)

    def unreachable(self) -> set[str]:
        """Return the engines that gave no answer lately."""
        now = self.clock.monotonic()
        return {
            engine_id
            for engine_id, until in self._unreachable_until.items()
            if until > now
        }

    def probe(self, occasion: str, engine_ids: Iterable[str]) -> None:
        """Ask engines whether they live, not too often on one occasion."""
        now = self.clock.monotonic()
        if now - self._asked_at.get(occasion, 0) < PROBE_INTERVAL_S:
            return
        self._asked_at[occasion] = now
        for engine_id in engine_ids:
            self.start(self._probe_engine(engine_id))

    async def _probe_engine(self, engine_id: str) -> None:
        engine = self.directory.engines_by_id.get(engine_id)
        if engine is None:
            return
        for _ in range(PROBES):
            if await self.orders.report(engine) is not None:
                self._unreachable_until.pop(engine_id, None)
                return
        now = self.clock.monotonic()
        is_news = self._unreachable_until.get(engine_id, 0) <= now
        self._unreachable_until[engine_id] = now + UNREACHABLE_S
        if is_news:
            self.log.note('engine_unreachable', engine=engine_id)
            if self.is_holder():
                self._probe_neighbours(engine)
        self.on_loss()

    def _probe_neighbours(self, lost: Engine) -> None:
        neighbours: Collection[str] = [
            engine.engine_id
            for engine in self.directory.engines_by_id.values()
            if engine.fabric_domain == lost.fabric_domain
            and engine.service == lost.service
        ]
        self.probe(f'domain {lost.service} {lost.fabric_domain}', neighbours)
