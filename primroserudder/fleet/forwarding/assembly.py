"""Builds the part of a router that forwards requests to other routers."""

from collections.abc import Callable

from ...httpclient import open_session
from ...platform import ORDER_TIMEOUT_S, EngineOrders
from ..control_plane import RouterContext
from ..directory import Directory
from ..membership import PeerAddresses
from .forwarder import Forwarder
from .peers import ReachingPeers
from .reach import EngineReach


def build_forwarder(
    context: RouterContext,
    directory: Directory,
    peers: PeerAddresses,
    on_lost: Callable[[str], None],
) -> Forwarder:
    """Return the forwarder of a router, without starting it.

    Parameters
    ==========
    on_lost : Callable
        Takes the target id of a router that does not answer any more.
    """
    # Connections that were open before the links were lost prove nothing.
    orders = EngineOrders(
        open_session(ORDER_TIMEOUT_S, reuses_connections=False)
    )
    domain = context.settings.failure_domain
    reach = EngineReach(orders, directory, context.clock, context.log, domain)
    return Forwarder(
        reach,
        ReachingPeers(
            open_session(),
            peers,
            context.clock,
            context.log,
            reach.in_doubt,
            on_lost,
        ),
        domain,
    )
