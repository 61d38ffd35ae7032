"""Sets up the limits and the admission control of an entry."""

from functools import partial

from ..connection.lending import Borrower, LendingService
from ..request.admission import Admission
from ..request.limits import Limiter
from ..request.limitshares import LimitShares, configured_limit
from ..request.routing import Router
from ..request.subset import possibly_alive_entries
from ..request.window import ADAPT_INTERVAL_S
from ..wire import limits_pb2_grpc
from .node import NodeRuntime

BORROW_INTERVAL_S = 1


def start_admission(runtime: NodeRuntime, router: Router) -> Admission:
    """Start the admission control of an entry and return it.

    Explanation
    ===========
    Adds the lending service to the peers' server, adds the admission state to
    the state dump, and starts the periodic steps that adapt the admission
    windows and borrow shares of limits from peers.
    """
    membership = runtime.membership
    limit_shares = LimitShares(
        membership.own.node_id,
        partial(possibly_alive_entries, membership),
        partial(configured_limit, runtime.holder),
    )
    borrower = Borrower(
        limit_shares,
        membership,
        runtime.channels,
        runtime.clock,
        runtime.metrics,
        runtime.rng,
    )
    limits_pb2_grpc.add_LendingServicer_to_server(
        LendingService(limit_shares, runtime.clock),
        runtime.peer_server,
    )
    admission = Admission(router, Limiter(runtime.clock, limit_shares))
    runtime.state.register('admission', admission.dump)
    runtime.start_step(admission.tick, ADAPT_INTERVAL_S, 'admission')
    runtime.start_step(borrower.step, BORROW_INTERVAL_S, 'borrow')
    return admission
