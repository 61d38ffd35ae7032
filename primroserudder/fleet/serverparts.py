"""Puts together the part of a router that serves requests."""

from collections.abc import Callable, Collection

from ..platform import open_session
from .peeraddresses import PeerAddresses
from .control_plane import RouterContext
from .health import TargetHealth
from .in_flight import InFlightCounts
from .retries import RetryBudgets
from .serving import Server
from .site_view import SiteView
from .strikes import StrikeRegistry

ENGINE_SESSION_TIMEOUT_S = 60.0


def assemble_server(
    around: RouterContext,
    view: SiteView,
    book: InFlightCounts,
    peers: PeerAddresses,
    broken_groups: Callable[[], Collection[str]],
) -> Server:
    """Return what finds places for requests and sends them."""
    repeats = around.settings.repeats
    return Server(
        around.settings.failure_domain,
        open_session(ENGINE_SESSION_TIMEOUT_S, reuses_connections=False),
        around.clock,
        view.directory,
        book,
        TargetHealth(around.clock),
        StrikeRegistry(),
        around.log,
        around.metrics,
        RetryBudgets(repeats.ratio, repeats.extra, repeats.window_s),
        peers.count,
        broken_groups,
    )
