"""Puts limits and admission control into an entry."""

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

BORROW_S = 1


def start_admission(runtime: NodeRuntime, router: Router) -> Admission:
    """Return the admission of an entry, with its steps and its peer service."""
    membership = runtime.membership
    allotments = LimitShares(
        membership.own.node_id,
        partial(possibly_alive_entries, membership),
        partial(configured_limit, runtime.holder),
    )
    borrower = Borrower(
        allotments,
        membership,
        runtime.channels,
        runtime.clock,
        runtime.metrics,
        runtime.rng,
    )
    limits_pb2_grpc.add_LendingServicer_to_server(
        LendingService(allotments, runtime.clock),
        runtime.peer_server,
    )
    admission = Admission(router, Limiter(runtime.clock, allotments))
    runtime.state.register('admission', admission.dump)
    runtime.start_step(admission.tick, ADAPT_INTERVAL_S, 'admission')
    runtime.start_step(borrower.step, BORROW_S, 'borrow')
    return admission
