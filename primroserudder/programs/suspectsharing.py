"""Shares the suspect requests of an entry with its peers and operators."""

from ..connection.suspectpeers import GrpcSuspectPeers, SuspectsService
from ..connection.suspectroutes import SuspectRoutes
from ..request.isolation import Isolation
from ..wire import suspects_pb2_grpc
from .node import NodeRuntime

EXPIRY_INTERVAL_S = 5


def share_suspects(runtime: NodeRuntime, isolation: Isolation) -> None:
    """Exchange suspects with the peers and show them to operators."""
    isolation.peers = GrpcSuspectPeers(
        runtime.clock,
        runtime.membership,
        runtime.channels,
        isolation.permits,
        runtime.rng,
    )
    suspects_pb2_grpc.add_SuspectsServicer_to_server(
        SuspectsService(runtime.clock, isolation.registry, isolation.permits),
        runtime.peer_server,
    )
    runtime.operator_routes.extend(SuspectRoutes(isolation).routes())
    runtime.state.register('suspects', isolation.registry.dump)
    runtime.start_step(isolation.step, EXPIRY_INTERVAL_S, 'expire_suspects')
