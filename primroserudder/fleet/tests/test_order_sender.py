"""Orders are sent only while the lease outlives them."""

import asyncio
from dataclasses import dataclass, field

import pytest

from ...platform import OrderOutcome
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ...testing.fleetdata import ManualClock, engine, formation, standing
from ..actions import Close, Join, Leave, Open, Order
from ..model import Engine, Formation
from ..order_sender import OrderSender

MADE = formation()
HEAD = engine('a')


@dataclass
class RecordedOrders:
    """Notes orders and gives each the same answer."""

    outcome: OrderOutcome = OrderOutcome.DONE
    given: list[str] = field(default_factory=list)

    async def join(self, to: Engine, made: Formation) -> OrderOutcome:
        """Note a join."""
        return self._note('join')

    async def open(self, to: Engine, made: Formation) -> OrderOutcome:
        """Note an opening."""
        return self._note('open')

    async def close(
        self, to: Engine, made: Formation, *, at_once: bool
    ) -> OrderOutcome:
        """Note a close."""
        return self._note('close')

    async def leave(self, to: Engine, made: Formation) -> OrderOutcome:
        """Note a leave."""
        return self._note('leave')

    async def stage(self, to: Engine, model: str) -> OrderOutcome:
        """Note a staging."""
        return self._note('stage')

    def _note(self, order: str) -> OrderOutcome:
        self.given.append(order)
        return self.outcome


@dataclass
class Holder:
    """A lease that a test ends."""

    is_held: bool = True

    def may_order(self) -> bool:
        """Return whether the lease is held."""
        return self.is_held


def giver(orders: RecordedOrders, holder: Holder) -> OrderSender:
    """Return a giver of orders that notes them."""
    clock = ManualClock()
    return OrderSender(
        orders,  # type: ignore[arg-type]
        clock,
        DecisionLog('test', clock),
        Metrics(),
        asyncio.Event(),
        holder.may_order,
    )


async def settle() -> None:
    """Let tasks that were started run to their end."""
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    'need',
    [Join(HEAD), Open(HEAD), Close(HEAD, at_once=True), Leave(HEAD)],
    ids=lambda need: type(need).__name__,
)
async def test_no_order_is_sent_once_the_lease_ended(need: Order) -> None:
    orders = RecordedOrders()
    holder = Holder()
    made = giver(orders, holder)
    made.send(need, standing(MADE))
    holder.is_held = False
    await settle()
    assert not orders.given


async def test_no_model_is_loaded_once_the_lease_ended() -> None:
    orders = RecordedOrders()
    holder = Holder()
    made = giver(orders, holder)
    made.preload(HEAD, MADE)
    made.stage(HEAD, 'small')
    holder.is_held = False
    await settle()
    assert not orders.given


async def test_withheld_opening_does_not_count_as_asked() -> None:
    holder = Holder(is_held=False)
    claimed = standing(MADE, is_open_ordered=False)
    giver(RecordedOrders(), holder).send(Open(HEAD), claimed)
    await settle()
    assert not claimed.is_open_ordered


async def test_close_ends_orders_and_probes_that_are_under_way() -> None:
    made = giver(RecordedOrders(), Holder())
    ended: list[str] = []

    async def probe() -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            ended.append('probe')
            raise

    made.start(probe())
    await settle()
    await made.close()
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
async def test_only_an_acknowledged_leave_counts(
    outcome: OrderOutcome, has_left: bool
) -> None:
    claimed = standing(MADE)
    giver(RecordedOrders(outcome), Holder()).send(Leave(HEAD), claimed)
    await settle()
    assert claimed.has_head_left is has_left
