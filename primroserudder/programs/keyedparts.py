"""Wires the parts of an entry for keyed requests and plain services."""

from collections.abc import Callable
from contextlib import AbstractContextManager

from ..connection.keyedhttp import KeyedHttp
from ..connection.keyedpeers import KeysClient, KeysService
from ..connection.plain import PlainHttp, plain_session
from ..process.keysweep import (
    EPOCH_POLL_S,
    SWEEP_S,
    KeyEpochs,
    KeySweeper,
)
from ..process.settings import EntrySettings
from ..request.attempts import Server
from ..request.execution import Execution, ModelExecution
from ..request.keybatch import BatchWriter
from ..request.keyed import KeyedRequests
from ..request.keymemory import KeyMemory
from ..request.keyrecord import KEY_PREFIX, KeyOwner
from ..request.keyrouting import KeyRouting
from ..request.keystore import KeyStore
from ..request.mintedkey import Minter
from ..request.plain import PlainExecution
from ..wire import keys_pb2_grpc
from .node import NodeRuntime


async def wire_keyed(
    runtime: NodeRuntime,
    settings: EntrySettings,
    server: Server,
    track_in_flight: Callable[[str], AbstractContextManager[None]],
) -> KeyedHttp:
    """Return the HTTP handlers of keyed requests."""
    plain = await _plain(runtime)
    execution = Execution(ModelExecution(server, runtime.holder), plain)
    epochs = KeyEpochs(runtime.platform, runtime.clock)
    client = KeysClient(runtime.channels, runtime.membership, runtime.clock)
    requests = _requests(runtime, settings, execution, epochs, client)
    routing = KeyRouting(requests, client)
    keys_pb2_grpc.add_KeysServicer_to_server(
        KeysService(routing, runtime.clock),
        runtime.peer_server,
    )
    _start_steps(runtime, epochs)
    runtime.state.register('keys', requests.dump)
    return KeyedHttp(
        routing=routing,
        plain=plain,
        holder=runtime.holder,
        clock=runtime.clock,
        metrics=runtime.metrics,
        invariants=runtime.invariants,
        has_secret=bool(settings.minting_secret),
        track_in_flight=track_in_flight,
    )


async def _plain(runtime: NodeRuntime) -> PlainExecution:
    enter = runtime.stack.enter_async_context
    pooled = await enter(plain_session(is_pooled=True))
    unpooled = await enter(plain_session(is_pooled=False))
    return PlainExecution(
        client=PlainHttp(pooled, unpooled),
        holder=runtime.holder,
        clock=runtime.clock,
        metrics=runtime.metrics,
        rng=runtime.rng,
        failure_domain=runtime.settings.failure_domain,
    )


def _requests(
    runtime: NodeRuntime,
    settings: EntrySettings,
    execution: Execution,
    epochs: KeyEpochs,
    client: KeysClient,
) -> KeyedRequests:
    own = runtime.membership.own
    writer = BatchWriter(runtime.platform, runtime.metrics)
    return KeyedRequests(
        owner=KeyOwner(own.node_id, own.incarnation),
        executor=execution,
        store=KeyStore(runtime.platform, writer, runtime.metrics),
        memory=KeyMemory(runtime.clock),
        minter=Minter(
            settings.minting_secret,
            own.node_id,
            own.incarnation,
            own.address,
            runtime.clock,
        ),
        clock=runtime.clock,
        metrics=runtime.metrics,
        invariants=runtime.invariants,
        is_owner_alive=client.is_owner_alive,
        current_epoch=epochs.current,
    )


def _start_steps(runtime: NodeRuntime, epochs: KeyEpochs) -> None:
    sweeper = KeySweeper(
        runtime.platform,
        epochs,
        runtime.rng,
        runtime.metrics,
        KEY_PREFIX,
    )
    runtime.start_step(epochs.poll, EPOCH_POLL_S, 'poll_key_epoch')
    runtime.start_step(sweeper.sweep, SWEEP_S, 'sweep_keys')
