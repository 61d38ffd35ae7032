"""Gives the orders that groups need, each again until its effect shows."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial, singledispatchmethod

from ..platform.orders import EngineOrders, OrderOutcome
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.loops import cancel_all
from ..process.metrics import Metrics
from .actions import Close, Join, Leave, Open, Order
from .group_lifecycle import GroupProgress
from .model import Engine, Formation

# An order shows in the list in a few milliseconds, an opening in 300.
ORDER_RETRY_S = 0.6
DELIVERED = frozenset((OrderOutcome.BEGUN, OrderOutcome.DONE))


@dataclass(slots=True)
class OrderSender:
    """Sends orders beside the holder's rounds and notes their answers.

    Explanation
    ===========
    A round awaits the store between the check of its lease and its orders,
    and an order waits for a connection. Each order is therefore sent only if
    the lease outlives it.

    Parameters
    ==========
    may_order : Callable
        Whether the lease is held until an order that is sent now has ended.
    """

    orders: EngineOrders
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    wake: asyncio.Event
    may_order: Callable[[], bool]
    _ordered_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def is_due(self, need: Order) -> bool:
        """Return whether an order was not given a moment ago."""
        known = self._ordered_at.get(_key(need), 0)
        return self.clock.monotonic() - known >= ORDER_RETRY_S

    def send(self, need: Order, standing: GroupProgress) -> None:
        """Begin to send an order."""
        self._ordered_at[_key(need)] = self.clock.monotonic()
        self.start(
            self._send_with_lease(
                need.engine, partial(self._dispatch, need, standing)
            )
        )

    def preload(self, engine: Engine, formation: Formation) -> None:
        """Let a spare engine hold a model in memory."""
        self.start(
            self._send_with_lease(
                engine, partial(self._hold, engine, formation)
            )
        )

    def stage(self, engine: Engine, model: str) -> None:
        """Let an engine load a model onto its host."""
        self.start(
            self._send_with_lease(engine, partial(self._stage, engine, model))
        )

    def start(self, work: Coroutine[object, object, None]) -> None:
        """Run something beside the rounds."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End everything that runs beside the rounds."""
        await cancel_all(tuple(self._tasks))

    async def _send_with_lease(
        self,
        engine: Engine,
        order: Callable[[], Coroutine[object, object, None]],
    ) -> None:
        if self.may_order():
            await order()
        else:
            self.metrics.count('orders_withheld')
            self.log.note(
                'order_withheld',
                engine=engine.engine_id,
                cause='the lease may end before the order does',
            )

    @singledispatchmethod
    async def _dispatch(self, need: Order, standing: GroupProgress) -> None:
        """Give one order and note what its answer tells."""
        raise NotImplementedError(type(need).__name__)

    @_dispatch.register
    async def _send_join(self, need: Join, standing: GroupProgress) -> None:
        outcome = await self.orders.join(need.engine, standing.formation)
        self._note('join', need.engine, standing.formation, outcome)

    @_dispatch.register
    async def _send_open(self, need: Open, standing: GroupProgress) -> None:
        standing.is_open_ordered = True
        outcome = await self.orders.open(need.engine, standing.formation)
        self._note('open', need.engine, standing.formation, outcome)

    @_dispatch.register
    async def _send_close(self, need: Close, standing: GroupProgress) -> None:
        outcome = await self.orders.close(
            need.engine, standing.formation, at_once=need.at_once
        )
        if outcome in DELIVERED or outcome is OrderOutcome.UNFIT:
            standing.is_close_answered = True
        self._note('close', need.engine, standing.formation, outcome)

    @_dispatch.register
    async def _send_leave(self, need: Leave, standing: GroupProgress) -> None:
        outcome = await self.orders.leave(need.engine, standing.formation)
        if outcome in DELIVERED:
            now = self.clock.monotonic()
            standing.note_left(need.engine.engine_id, now)
        self._note('leave', need.engine, standing.formation, outcome)

    async def _hold(self, engine: Engine, formation: Formation) -> None:
        outcome = await self.orders.join(engine, formation)
        self._note('hold', engine, formation, outcome)

    async def _stage(self, engine: Engine, model: str) -> None:
        outcome = await self.orders.stage(engine, model)
        self._note('stage', engine, Formation('', 0, model, ()), outcome)

    def _note(
        self,
        order: str,
        engine: Engine,
        formation: Formation,
        outcome: OrderOutcome,
    ) -> None:
        if outcome in DELIVERED:
            self.wake.set()
        self.metrics.count('orders', order=order, outcome=outcome.value)
        self.log.note(
            'order',
            order=order,
            engine=engine.engine_id,
            group=formation.name,
            model=formation.model,
            outcome=outcome.value,
        )


def _key(need: Order) -> tuple[str, str]:
    return need.engine.engine_id, type(need).__name__
