"""Builds the part of a router that controls the engine groups."""

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
from .engine_inventory import EngineInventory
from .epochs import listed_token
from .forwarding import Forwarder
from .group_reconciler import GroupReconciler
from .latertenures import LaterTenures
from .leader_election import LEASE_LIFETIME_S, LeaderElection, LivingPeers
from .load_limiter import LoadLimiter
from .membership import InFlightCounts
from .order_sender import OrderSender
from .reachability import ReachabilityTracker
from .rebalancing import Rebalancer
from .settings import RouterSettings
from .site_view import SiteView
from .tenure import Tenure

LEASE_NAME = 'site'


@dataclass(frozen=True, slots=True)
class RouterContext:
    """Settings and services that all parts of a router share."""

    settings: RouterSettings
    platform: PlatformClient
    clock: Clock
    log: DecisionLog
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class ControlPlane:
    """The election of the lease holder, and its control of the groups."""

    election: LeaderElection
    inventory: EngineInventory
    reconciler: GroupReconciler
    orders: EngineOrders

    async def close(self) -> None:
        """Cancel running orders, then close the connections to engines."""
        await self.reconciler.sender.close()
        await self.orders.close_session()


def build_control_plane(
    context: RouterContext,
    view: SiteView,
    lease: Lease,
    has_traffic: Callable[[], bool],
    peers: LivingPeers,
    forwarder: Forwarder,
    in_flight: InFlightCounts,
) -> ControlPlane:
    """Return the parts that control groups, without starting them."""
    lease.known_fencing = partial(
        listed_token, view.directory.engines_by_id.values()
    )
    wake = asyncio.Event()
    orders = EngineOrders()
    clock = context.clock
    log = context.log
    sender = OrderSender(
        orders,
        clock,
        log,
        context.metrics,
        wake,
        partial(lease.is_held, ORDER_TIMEOUT_S),
    )
    inventory = EngineInventory(
        view.directory,
        clock,
        log,
        LoadLimiter(clock),
        has_traffic,
        is_evacuated=view.evacuations.is_evacuated,
    )
    reachability = ReachabilityTracker(
        orders,
        view.directory,
        clock,
        log,
        sender.start,
        wake.set,
        lease.is_held,
        forwarder.reach,
    )
    reconciler = GroupReconciler(
        lease,
        partial(Tenure, context.platform, lease, clock, log, context.metrics),
        sender,
        reachability,
        inventory,
        Rebalancer(inventory, in_flight, sender, clock, log, context.metrics),
        view.directory,
        view.configuration,
        clock,
        log,
        context.settings.stall_s,
        wake,
        LaterTenures(lease, view.directory, log),
    )
    election = LeaderElection(
        lease, clock, log, wake, peers, lambda: forwarder.is_useless_as_holder
    )
    return ControlPlane(election, inventory, reconciler, orders)


def build_lease(
    context: RouterContext,
    store_now_s: Callable[[], float | None],
    store_era: Callable[[], int],
) -> Lease:
    """Return this process's handle on the site's lease.

    Explanation
    ===========
    The holder id contains the start time, so that a restarted process
    counts as another holder.
    """
    node = context.settings.node
    return Lease(
        context.platform,
        context.clock,
        LEASE_NAME,
        f'{node}/{time.time_ns()}',
        LEASE_LIFETIME_S,
        # Epochs and claims make late orders of a previous holder harmless.
        order_lifetime_s=0,
        platform_now_s=store_now_s,
        platform_era=store_era,
    )
