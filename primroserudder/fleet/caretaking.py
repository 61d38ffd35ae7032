"""Puts together the part of a router that keeps groups."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..platform import ORDER_TIMEOUT_S, EngineOrders
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from ..process.platform import PlatformClient
from .keeper import GroupKeeper
from .loads import LoadGate
from .ordering import OrderGiver
from .reach import Reach
from .settings import RouterSettings
from .siteview import SiteView
from .stock import Stock
from .tenancy import LEASE_LIFETIME_S, Neighbours, Tenancy
from .tenure import Tenure

SITE = 'site'


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the parts of a router share."""

    settings: RouterSettings
    platform: PlatformClient
    clock: Clock
    log: DecisionLog
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class Caretaking:
    """The lease, and the groups that its holder keeps."""

    tenancy: Tenancy
    stock: Stock
    keeper: GroupKeeper
    orders: EngineOrders

    async def close(self) -> None:
        """End what is under way, then the connections to engines."""
        await self.keeper.giver.close()
        await self.orders.close_session()


def assemble_caretaking(
    around: Surroundings,
    view: SiteView,
    lease: Lease,
    has_traffic: Callable[[], bool],
    neighbours: Neighbours,
) -> Caretaking:
    """Return the parts that keep groups, not running yet."""
    wake = asyncio.Event()
    orders = EngineOrders()
    clock = around.clock
    log = around.log
    giver = OrderGiver(
        orders,
        clock,
        log,
        around.metrics,
        wake,
        partial(lease.is_held, ORDER_TIMEOUT_S),
    )
    stock = Stock(view.directory, clock, log, LoadGate(clock), has_traffic)
    reach = Reach(
        orders,
        view.directory,
        clock,
        log,
        giver.start,
        wake.set,
        lease.is_held,
    )
    keeper = GroupKeeper(
        lease,
        partial(Tenure, around.platform, lease, clock, log, around.metrics),
        giver,
        reach,
        stock,
        view.directory,
        view.configuration,
        clock,
        log,
        around.settings.stall_s,
        wake,
    )
    tenancy = Tenancy(lease, clock, log, wake, neighbours)
    return Caretaking(tenancy, stock, keeper, orders)


def make_lease(
    around: Surroundings,
    store_now_s: Callable[[], float | None],
) -> Lease:
    """Return the site's lease as this start of the process sees it."""
    node = around.settings.node
    return Lease(
        around.platform,
        around.clock,
        SITE,
        f'{node}/{time.time_ns()}',
        LEASE_LIFETIME_S,
        # Epochs and claims keep a predecessor's late orders harmless.
        order_lifetime_s=0,
        platform_now_s=store_now_s,
    )
