"""The control parts of an entry, without ports, for virtual time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..errors import RudderError
from ..process.clock import Clock
from ..process.digest import DigestReply, DigestRequest, GroupUse, prober_key
from ..process.engines import EngineClient
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory
from ..process.membership import Membership, Node
from ..process.probing import PROBE_STEP_S, Prober
from ..process.sharing import (
    SHARE_INTERVAL_S,
    DigestServer,
    EvidenceSharing,
    leaving_uses,
)
from ..process.uses import UseBook
from .network import Network

RIGHT_LATE_AFTER_S = 2.5


@dataclass(slots=True)
class DigestServers:
    """The entries that can be asked, by address."""

    network: Network
    by_address: dict[str, DigestServer] = field(default_factory=dict)

    def seen_by(self, party: str) -> 'PartyDigestClient':
        """Return the entries as a party reaches them."""
        return PartyDigestClient(self, party)


@dataclass(slots=True)
class PartyDigestClient:
    """Asks entries in the same process."""

    digest_servers: DigestServers
    party: str

    async def pull(self, address: str, question: DigestRequest) -> DigestReply:
        """Return an entry's answer."""
        await self.digest_servers.network.carry(self.party, address)
        await self.digest_servers.network.resume(address)
        answer = self.digest_servers.by_address[address].answer(question)
        await self.digest_servers.network.carry(address, self.party)
        await self.digest_servers.network.resume(self.party)
        return answer


@dataclass(slots=True)
class EntryControl:
    """Probes, shares and judges as an entry does; its address is its id."""

    node: Node
    clock: Clock
    engines: EngineClient
    digest_servers: DigestServers
    directory: GroupDirectory = field(default_factory=GroupDirectory)
    in_flight_by_group: Counter[str] = field(default_factory=Counter)
    membership: Membership = field(init=False)
    book: EvidenceBook = field(init=False)
    prober: Prober = field(init=False)
    sharing: EvidenceSharing = field(init=False)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the parts and begin to answer."""
        node = self.node
        key = prober_key(node.node_id, node.incarnation)
        self.book = EvidenceBook(self.clock, key)
        self.membership = Membership(node, self.clock)
        self.prober = Prober(self.clock, self.engines, self.book, node.node_id)
        uses = UseBook(self.clock)
        desk = DigestServer(
            self.book,
            EvidenceBook(self.clock, key, RIGHT_LATE_AFTER_S),
            self.directory,
            uses,
            node.failure_domain,
        )
        self.digest_servers.by_address[node.address] = desk
        self.sharing = EvidenceSharing(
            self.clock,
            self.membership,
            self.digest_servers.seen_by(node.node_id),
            self.book,
            uses,
            desk,
            self._leaving,
        )

    def start(self) -> None:
        """Begin to probe and to share."""
        self.repeat(self.probe, PROBE_STEP_S)
        self.repeat(self.sharing.step, SHARE_INTERVAL_S)

    def repeat(
        self,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
    ) -> None:
        """Repeat a step until the entry stops, but not while paused."""
        self.tasks.append(asyncio.create_task(self._repeat(step, interval_s)))

    def stop(self) -> None:
        """End as a crash does."""
        self.prober.stop()
        for task in self.tasks:
            task.cancel()

    async def probe(self) -> None:
        """Start the probes that are due."""
        members = self.directory.members_of_domain(self.node.failure_domain)
        self.prober.step(members, *self.sharing.neighbours())

    async def _repeat(
        self,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
    ) -> None:
        network = self.digest_servers.network
        # Nodes do not start in step with each other.
        await asyncio.sleep(interval_s * network.rng.random())
        while True:
            await network.resume(self.node.node_id)
            try:
                await step()
            except RudderError:
                continue
            finally:
                await asyncio.sleep(interval_s)

    def _leaving(self) -> tuple[GroupUse, ...]:
        groups = self.directory.by_id.values()
        return tuple(leaving_uses(groups, self.book, self.in_flight_by_group))
