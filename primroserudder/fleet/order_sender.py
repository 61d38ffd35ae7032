"""Sends orders to engines and repeats each until it takes effect."""

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
from .group_lifecycle import MAX_ORDER_DELAY_S, GroupProgress
from .latertenures import JoinRecord
from .model import Engine, Formation

# The effect of an order is listed within a few milliseconds, that of an open
# order within 300 ms.
ORDER_RETRY_S = 0.6
DELIVERED = frozenset((OrderOutcome.BEGUN, OrderOutcome.DONE))


@dataclass(slots=True)
class OrderSender:
    """Sends orders in background tasks and records their outcomes.

    Explanation
    ===========
    A reconcile round awaits the store between the check of the lease and its
    orders, and an order waits for a connection. The lease is therefore
    checked again before each order, which is sent only if the lease lasts
    until the order's timeout.

    Parameters
    ==========
    may_order : Callable
        Whether the lease is held until an order that is sent now has timed
        out.
    """

    orders: EngineOrders
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    wake: asyncio.Event
    may_order: Callable[[], bool]
    joins: JoinRecord = field(default_factory=JoinRecord)
    _sent_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def is_due(self, action: Order) -> bool:
        """Return whether the retry interval of an order has passed."""
        sent_at = self._sent_at.get(_key(action), 0)
        return self.clock.monotonic() - sent_at >= ORDER_RETRY_S

    def send(self, action: Order, progress: GroupProgress) -> None:
        """Start to send an order in the background."""
        self._sent_at[_key(action)] = self.clock.monotonic()
        self.start(
            self._send_with_lease(
                action.engine,
                partial(self._dispatch, action, progress),
            )
        )

    def preload(self, engine: Engine, formation: Formation) -> None:
        """Order a spare engine to load a model into memory."""
        self.start(
            self._send_with_lease(
                engine, partial(self._preload, engine, formation)
            )
        )

    def stage(self, engine: Engine, model: str) -> None:
        """Order an engine to load a model onto its host."""
        self.start(
            self._send_with_lease(engine, partial(self._stage, engine, model))
        )

    def start(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine in a background task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all background tasks."""
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
    async def _dispatch(self, action: Order, progress: GroupProgress) -> None:
        """Send one order and record its outcome.

        Raises
        ======
        NotImplementedError
            If the order is of an unknown kind.
        """
        raise NotImplementedError(type(action).__name__)

    @_dispatch.register
    async def _send_join(self, action: Join, progress: GroupProgress) -> None:
        outcome = await self.joins.send(
            self.orders.join, action.engine, progress.formation
        )
        if outcome is OrderOutcome.OUTDATED:
            # The same order would be refused each time.
            progress.is_outdated = True
            self.wake.set()
        self._record('join', action.engine, progress.formation, outcome)

    @_dispatch.register
    async def _send_open(self, action: Open, progress: GroupProgress) -> None:
        progress.is_open_ordered = True
        sent_at = self.clock.monotonic()
        outcome = await self.orders.open(action.engine, progress.formation)
        if outcome is OrderOutcome.UNKNOWN:
            progress.may_open_until = sent_at + MAX_ORDER_DELAY_S
        self._record('open', action.engine, progress.formation, outcome)

    @_dispatch.register
    async def _send_close(self, action: Close, progress: GroupProgress) -> None:
        outcome = await self.orders.close(
            action.engine,
            progress.formation,
            at_once=action.at_once,
        )
        if outcome in DELIVERED or outcome is OrderOutcome.UNFIT:
            progress.is_close_answered = True
        self._record('close', action.engine, progress.formation, outcome)

    @_dispatch.register
    async def _send_leave(self, action: Leave, progress: GroupProgress) -> None:
        outcome = await self.orders.leave(action.engine, progress.formation)
        if outcome in DELIVERED:
            now = self.clock.monotonic()
            progress.note_left(action.engine.engine_id, now)
        self._record('leave', action.engine, progress.formation, outcome)

    async def _preload(self, engine: Engine, formation: Formation) -> None:
        outcome = await self.joins.send(self.orders.join, engine, formation)
        self._record('hold', engine, formation, outcome)

    async def _stage(self, engine: Engine, model: str) -> None:
        outcome = await self.orders.stage(engine, model)
        self._record('stage', engine, Formation('', 0, model, ()), outcome)

    def _record(
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


def _key(action: Order) -> tuple[str, str]:
    return action.engine.engine_id, type(action).__name__
