"""Measures the cost of evidence per entry: bytes, calls and CPU time.

Explanation
===========
The entries of one failure domain run their real probing and sharing in
virtual time; what they would send is serialised as the real messages. The
overhead of gRPC per call is measured on one real connection over loopback,
through a relay that counts bytes.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import inf

from ..connection.digests import (
    EvidenceService,
    GrpcDigestClient,
    answer_from_message,
    answer_to_message,
    question_from_message,
    question_to_message,
)
from ..connection.peers import PeerChannels, peer_server
from ..process.clock import LoopClock, SystemClock
from ..process.digest import DigestReply, DigestRequest
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..process.membership import Node, Peer
from ..process.sharing import DigestClient, DigestServer
from ..process.uses import UseBook
from ..wire import evidence_pb2_grpc
from . import builders
from .entries import DigestServers, EntryControl
from .fakes import FakeEngines, group_of_engines
from .network import Network
from .virtualtime import run_virtually

WARM_UP_S = 10
GROUP_SIZE = 4
CALLS = 2000
CHUNK_BYTES = 65_536
PERCENT = 100


@dataclass(slots=True)
class CountingClient:
    """Serialises requests and replies and counts their bytes."""

    inner: DigestClient
    owner: str
    bytes_by_sender: Counter[str]
    calls_by_sender: Counter[str]

    async def pull(self, address: str, question: DigestRequest) -> DigestReply:
        """Forward a request and count the bytes of both messages."""
        message = question_to_message(question)
        self.bytes_by_sender[self.owner] += message.ByteSize()
        self.calls_by_sender[self.owner] += 1
        answer = await self.inner.pull(address, question_from_message(message))
        reply = answer_to_message(answer)
        self.bytes_by_sender[address] += reply.ByteSize()
        return answer_from_message(reply)


@dataclass(slots=True)
class Trial:
    """One failure domain at rest, measured for some seconds."""

    entries: int
    vms: int
    seconds: int
    bytes_by_sender: Counter[str] = field(default_factory=Counter)
    calls_by_sender: Counter[str] = field(default_factory=Counter)

    async def run(self) -> dict[str, float]:
        """Return the figures per entry and second."""
        network = Network(random.Random(1))
        engines = FakeEngines(network=network)
        groups = [
            group_of_engines(engines, LoopClock(), index, GROUP_SIZE)
            for index in range(self.vms // GROUP_SIZE)
        ]
        controls = self._start(engines, DigestServers(network), groups)
        await asyncio.sleep(WARM_UP_S)
        self.bytes_by_sender.clear()
        self.calls_by_sender.clear()
        engines.asked_by_address.clear()
        cpu_s = -time.process_time()
        await asyncio.sleep(self.seconds)
        cpu_s += time.process_time()
        serving_counts = [
            sum(map(entry.book.is_serving, groups)) for entry in controls
        ]
        for entry in controls:
            entry.stop()
        entry_seconds = self.entries * self.seconds
        return {
            'probes_each_s': engines.asked_by_address.total() / entry_seconds,
            'calls_each_s': self.calls_by_sender.total() / entry_seconds,
            'message_bytes_sent_each_s': self.bytes_by_sender.total()
            / entry_seconds,
            'cpu_percent_without_grpc': cpu_s / entry_seconds * PERCENT,
            'fewest_whole_groups': min(serving_counts),
        }

    def _start(
        self,
        engines: FakeEngines,
        digest_servers: DigestServers,
        groups: Sequence[GroupRecord],
    ) -> Sequence[EntryControl]:
        names = [f'entry-fd-1-{index}' for index in range(self.entries)]
        controls = [
            self._entry(name, engines, digest_servers) for name in names
        ]
        for entry in controls:
            entry.directory.replace_domain(builders.DOMAIN, groups)
            _add_peers(entry, controls)
            entry.start()
        return controls

    def _entry(
        self,
        name: str,
        engines: FakeEngines,
        digest_servers: DigestServers,
    ) -> EntryControl:
        node = Node(name, f'{name}#1', builders.DOMAIN, 'entry', name)
        entry = EntryControl(
            node, LoopClock(), engines.seen_by(name), digest_servers
        )
        entry.sharing.client = CountingClient(
            entry.sharing.client,
            name,
            self.bytes_by_sender,
            self.calls_by_sender,
        )
        return entry


def _add_peers(entry: EntryControl, others: Iterable[EntryControl]) -> None:
    entry.membership.by_id.update(
        {other.node.node_id: Peer(other.node, inf) for other in others},
    )
    entry.membership.by_id.pop(entry.node.node_id)


@dataclass(slots=True)
class ByteRelay:
    """Relays connections to a port and counts the bytes each way."""

    target_port: int
    sent: int = 0
    received: int = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection."""
        inner_reader, inner_writer = await asyncio.open_connection(
            '127.0.0.1',
            self.target_port,
        )
        await asyncio.gather(
            self._copy(reader, inner_writer, is_sent=True),
            self._copy(inner_reader, writer, is_sent=False),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_sent: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if is_sent:
                self.sent += len(chunk)
            else:
                self.received += len(chunk)
            writer.write(chunk)
            await writer.drain()
        writer.close()


async def measure_call() -> dict[str, float]:
    """Return the bytes and CPU seconds that gRPC adds per call."""
    server = peer_server()
    evidence_pb2_grpc.add_EvidenceServicer_to_server(
        EvidenceService(_empty_digest_server()),
        server,
    )
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    relay = ByteRelay(port)
    relay_server = await asyncio.start_server(relay.serve, '127.0.0.1', 0)
    relay_port = relay_server.sockets[0].getsockname()[1]
    client = GrpcDigestClient(PeerChannels())
    bytes_each = await _bytes_each(client, f'127.0.0.1:{relay_port}', relay)
    cpu_s = -time.process_time()
    for _ in range(CALLS):
        await client.pull(f'127.0.0.1:{port}', DigestRequest(2))
    cpu_s += time.process_time()
    await client.channels.close()
    relay_server.close()
    await server.stop(1)
    return {**bytes_each, 'cpu_s_both_ends_each_call': cpu_s / CALLS}


def _empty_digest_server() -> DigestServer:
    clock = SystemClock()
    return DigestServer(
        EvidenceBook(clock, 1),
        EvidenceBook(clock, 1),
        GroupDirectory(),
        UseBook(clock),
        builders.DOMAIN,
    )


async def _bytes_each(
    client: GrpcDigestClient,
    address: str,
    relay: ByteRelay,
) -> dict[str, float]:
    question = DigestRequest(2)
    answer = await client.pull(address, question)
    relay.sent = 0
    relay.received = 0
    for _ in range(CALLS):
        await client.pull(address, question)
    question_bytes = question_to_message(question).ByteSize()
    reply_bytes = answer_to_message(answer).ByteSize()
    return {
        'grpc_bytes_each_question': relay.sent / CALLS - question_bytes,
        'grpc_bytes_each_answer': relay.received / CALLS - reply_bytes,
    }


def main() -> None:
    """Write the figures as JSON."""
    parser = argparse.ArgumentParser(prog='evidence-bench')
    parser.add_argument('--entries', type=int, default=34)
    parser.add_argument('--vms', type=int, default=264)
    parser.add_argument('--seconds', type=int, default=20)
    arguments = parser.parse_args()
    trial = Trial(arguments.entries, arguments.vms, arguments.seconds)
    figures = run_virtually(trial.run())
    call = asyncio.run(measure_call())
    grpc_bytes = (
        call['grpc_bytes_each_question'] + call['grpc_bytes_each_answer']
    )
    calls = figures['calls_each_s']
    report = {
        'entries': arguments.entries,
        'vms': arguments.vms,
        **figures,
        **call,
        'peer_bytes_sent_each_s': (
            figures['message_bytes_sent_each_s'] + calls * grpc_bytes
        ),
        'cpu_percent_with_grpc': figures['cpu_percent_without_grpc']
        + calls * call['cpu_s_both_ends_each_call'] * PERCENT,
    }
    json.dump(report, sys.stdout, indent=2)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
