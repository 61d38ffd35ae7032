"""Tests that orders are sent only if the lease lasts until they end."""

import asyncio
from dataclasses import dataclass, field

import pytest

from ...platform import OrderOutcome
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ...testing.fleetdata import ManualClock, engine, formation, group_progress
from ..actions import Close, Join, Leave, Open, Order
from ..model import Engine, Formation
from ..order_sender import OrderSender

FORMATION = formation()
HEAD = engine('a')


@dataclass
class RecordingOrders:
    """Records orders and returns the same outcome for each."""

    outcome: OrderOutcome = OrderOutcome.DONE
    sent: list[str] = field(default_factory=list)

    async def join(self, to: Engine, group: Formation) -> OrderOutcome:
        """Record a join."""
        return self._record('join')

    async def open(self, to: Engine, group: Formation) -> OrderOutcome:
        """Record an open order."""
        return self._record('open')

    async def close(
        self, to: Engine, group: Formation, *, at_once: bool
    ) -> OrderOutcome:
        """Record a close."""
        return self._record('close')

    async def leave(self, to: Engine, group: Formation) -> OrderOutcome:
        """Record a leave."""
        return self._record('leave')

    async def stage(self, to: Engine, model: str) -> OrderOutcome:
        """Record a stage order."""
        return self._record('stage')

    def _record(self, order: str) -> OrderOutcome:
        self.sent.append(order)
        return self.outcome


@dataclass
class FakeLease:
    """A lease that the test can end."""

    is_held: bool = True

    def may_order(self) -> bool:
        """Return whether the lease is held."""
        return self.is_held


def new_sender(orders: RecordingOrders, lease: FakeLease) -> OrderSender:
    """Return an order sender that uses the recording orders."""
    clock = ManualClock()
    return OrderSender(
        orders,  # type: ignore[arg-type]
        clock,
        DecisionLog('test', clock),
        Metrics(),
        asyncio.Event(),
        lease.may_order,
    )


async def run_pending_tasks() -> None:
    """Run the started tasks to their end."""
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'action',
    [Join(HEAD), Open(HEAD), Close(HEAD, at_once=True), Leave(HEAD)],
    ids=lambda action: type(action).__name__,
)
async def test_no_order_is_sent_once_the_lease_ended(
    action: Order,
) -> None:
    orders = RecordingOrders()
    lease = FakeLease()
    sender = new_sender(orders, lease)
    sender.send(action, group_progress(FORMATION))
    lease.is_held = False
    await run_pending_tasks()
    assert not orders.sent


async def test_no_model_is_loaded_once_the_lease_ended() -> None:
    orders = RecordingOrders()
    lease = FakeLease()
    sender = new_sender(orders, lease)
    sender.preload(HEAD, FORMATION)
    sender.stage(HEAD, 'small')
    lease.is_held = False
    await run_pending_tasks()
    assert not orders.sent


async def test_withheld_open_order_does_not_count_as_ordered() -> None:
    lease = FakeLease(is_held=False)
    progress = group_progress(FORMATION, is_open_ordered=False)
    new_sender(RecordingOrders(), lease).send(Open(HEAD), progress)
    await run_pending_tasks()
    assert not progress.is_open_ordered


async def test_close_cancels_running_orders_and_probes() -> None:
    sender = new_sender(RecordingOrders(), FakeLease())
    ended: list[str] = []

    async def probe() -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            ended.append('probe')
            raise

    sender.start(probe())
    await run_pending_tasks()
    await sender.close()
    assert ended == ['probe']


@pytest.mark.parametrize(
    ('outcome', 'has_left'),
    [
        (OrderOutcome.DONE, True),
        (OrderOutcome.BEGUN, True),
        (OrderOutcome.UNFIT, False),
        (OrderOutcome.UNKNOWN, False),
        (OrderOutcome.NOT_DELIVERED, False),
    ],
)
async def test_only_an_acknowledged_leave_is_recorded(
    outcome: OrderOutcome, has_left: bool
) -> None:
    progress = group_progress(FORMATION)
    new_sender(RecordingOrders(outcome), FakeLease()).send(
        Leave(HEAD), progress
    )
    await run_pending_tasks()
    assert progress.has_head_left is has_left
