"""Peers that send large messages all at once, over gRPC."""

import asyncio
from contextlib import suppress

from grpc import aio

from ..wire import versions_pb2, versions_pb2_grpc

# Below the limit of one message.
MESSAGE_BYTES = 12_000_000
CALL_TIMEOUT_S = 8.0
_UNLIMITED = -1


async def push_large_versions(address: str, callers: int) -> None:
    """Push a version that builds on one the process doesn't hold.

    Parameters
    ==========
    address : str
        The peers' port, ``host:port``.
    callers : int
        How many send one each, at once and on connections of their own.
    """
    update = versions_pb2.VersionUpdate(
        number=1,
        digest='crowd',
        base_digest='unknown',
        middle=bytes(MESSAGE_BYTES),
    )
    await asyncio.gather(*(_push(address, update) for _ in range(callers)))


async def _push(address: str, update: versions_pb2.VersionUpdate) -> None:
    options = (
        ('grpc.use_local_subchannel_pool', 1),
        ('grpc.max_send_message_length', _UNLIMITED),
    )
    async with aio.insecure_channel(address, options=options) as channel:
        stub = versions_pb2_grpc.VersionsStub(channel)
        # A crowd goes on where the process refuses a message.
        with suppress(aio.AioRpcError):
            await stub.Push(update, timeout=CALL_TIMEOUT_S)
