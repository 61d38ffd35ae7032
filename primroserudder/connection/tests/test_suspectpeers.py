"""Tests that entries share suspects and permits over gRPC."""

import random
from contextlib import AsyncExitStack

from ...process.clock import SystemClock
from ...process.membership import Membership, Node
from ...process.settings import Listener
from ...request.permits import PermitOutcome, PermitTable, SuspectRun
from ...request.suspects import Strike, SuspectRegistry
from ...testing import builders
from ...wire import suspects_pb2_grpc
from ..peers import PeerChannels, bind, peer_server
from ..suspectpeers import GrpcSuspectPeers, SuspectsService

RUN = SuspectRun('k', 'g0', 'r1')


class Entry:
    """The suspect registry, permits and peer server of one entry."""

    def __init__(self, name: str, stack: AsyncExitStack) -> None:
        clock = SystemClock()
        self.server = peer_server()
        port = bind(self.server, Listener(port=0))
        self.node = Node(name, '1', 'fd-1', 'entry', f'127.0.0.1:{port}')
        self.membership = Membership(self.node, clock)
        self.registry = SuspectRegistry(clock)
        permits = PermitTable(clock)
        channels = PeerChannels()
        stack.push_async_callback(channels.close)
        self.peers = GrpcSuspectPeers(
            clock,
            self.membership,
            channels,
            permits,
            random.Random(1),
        )
        suspects_pb2_grpc.add_SuspectsServicer_to_server(
            SuspectsService(clock, self.registry, permits),
            self.server,
        )


async def _entries(stack: AsyncExitStack, count: int) -> list[Entry]:
    entries = [Entry(f'entry-{index}', stack) for index in range(count)]
    for entry in entries:
        await entry.server.start()
        stack.push_async_callback(entry.server.stop, 0)
        for other in entries:
            entry.membership.note_contact(other.node)
    return entries


def _add_strike(entry: Entry, index: int, *, is_isolated: bool) -> Strike:
    loss = entry.registry.note_loss(
        builders.group(index, fabric_domain=f'f{index}'),
    )
    strike = Strike('k', loss, 0, is_isolated)
    entry.registry.strike(strike)
    return strike


async def test_strikes_quarantine_at_all_entries_until_cleared() -> None:
    async with AsyncExitStack() as stack:
        entries = await _entries(stack, 3)
        for index in range(2):
            strike = _add_strike(entries[0], index, is_isolated=bool(index))
            await entries[0].peers.report_strikes(entries[0].registry, [strike])
        assert all(
            entry.registry.quarantined_for_s('k') > 0 for entry in entries
        )
        await entries[1].peers.report_cleared('k')
        assert not entries[2].registry.is_suspect('k')


async def test_entry_reports_that_a_suspect_runs_there() -> None:
    async with AsyncExitStack() as stack:
        entries = await _entries(stack, 2)
        strike = _add_strike(entries[0], 0, is_isolated=False)
        entries[1].registry.running['k'] += 1
        fingerprints = await entries[0].peers.report_strikes(
            entries[0].registry, [strike]
        )
        assert fingerprints == {'k'}


async def test_late_entry_receives_quarantined_strikes() -> None:
    async with AsyncExitStack() as stack:
        entries = await _entries(stack, 2)
        for index in range(2):
            _add_strike(entries[0], index, is_isolated=bool(index))
        quarantined = entries[0].registry.quarantined()
        await entries[0].peers.report_strikes_to_one(
            entries[0].registry, quarantined
        )
        assert entries[1].registry.quarantined_for_s('k') > 0


async def test_permits_exclude_each_other_at_all_entries() -> None:
    async with AsyncExitStack() as stack:
        entries = await _entries(stack, 3)
        assert (
            await entries[0].peers.request_permit(RUN) is PermitOutcome.GRANTED
        )
        for entry in entries[1:]:
            other = SuspectRun('k', 'g1', entry.node.node_id)
            outcome = await entry.peers.request_permit(other)
            assert outcome is PermitOutcome.REQUEST_RUNS
        await entries[0].peers.release_permit(RUN)
        other = SuspectRun('k', 'g1', 'r2')
        assert (
            await entries[1].peers.request_permit(other)
            is PermitOutcome.GRANTED
        )


async def test_entry_without_reachable_peers_grants_its_own_permits() -> None:
    async with AsyncExitStack() as stack:
        entries = await _entries(stack, 3)
        for entry in entries[1:]:
            await entry.server.stop(0)
        assert (
            await entries[0].peers.request_permit(RUN) is PermitOutcome.GRANTED
        )
        other = SuspectRun('k', 'g1', 'r2')
        outcome = await entries[0].peers.request_permit(other)
        assert outcome is PermitOutcome.REQUEST_RUNS
