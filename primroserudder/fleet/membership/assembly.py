"""Builds the exchange of a router."""

from collections.abc import Callable

from ...process.clock import Clock
from .bytebudget import ByteBudget
from .exchange import Exchange
from .in_flight import InFlightCounts
from .limitreport import LimitReport
from .links import Links
from .notice import Facts, Strikes
from .peeraddresses import PeerAddresses


def build_exchange(
    address: tuple[str, int],
    peers: PeerAddresses,
    clock: Clock,
    counts: InFlightCounts,
    link_mbps: float,
    own_facts: Callable[[], Facts],
    own_strikes: Callable[[], Strikes],
    own_limits: LimitReport | None = None,
) -> Exchange:
    """Return the exchange of a VM, without opening its port."""
    return Exchange(
        address,
        peers,
        clock,
        Links(counts, own_facts, own_limits or LimitReport()),
        ByteBudget(link_mbps),
        own_strikes,
    )
