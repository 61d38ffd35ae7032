"""Assembles the component of a router that serves requests."""

from collections.abc import Callable, Collection

from ..platform import open_session
from .control_plane import RouterContext
from .health import TargetHealth
from .in_flight import InFlightCounts
from .peeraddresses import PeerAddresses
from .quarantine import Quarantine
from .retries import RetryBudgets
from .serving import Server
from .site_view import SiteView

ENGINE_SESSION_TIMEOUT_S = 60.0


def assemble_server(
    context: RouterContext,
    view: SiteView,
    in_flight_counts: InFlightCounts,
    peers: PeerAddresses,
    broken_groups: Callable[[], Collection[str]],
) -> Server:
    """Return the server that assigns requests to engines and sends them."""
    retry_settings = context.settings.repeats
    return Server(
        context.settings.failure_domain,
        open_session(ENGINE_SESSION_TIMEOUT_S, reuses_connections=False),
        context.clock,
        view.directory,
        in_flight_counts,
        TargetHealth(context.clock),
        Quarantine(context.log, context.metrics),
        context.log,
        context.metrics,
        RetryBudgets(
            retry_settings.ratio, retry_settings.extra, retry_settings.window_s
        ),
        peers.count,
        broken_groups,
    )
