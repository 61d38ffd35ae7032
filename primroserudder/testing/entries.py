"""The control parts of an entry without ports, for virtual time."""

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
    """The digest servers of all entries, by address."""

    network: Network
    by_address: dict[str, DigestServer] = field(default_factory=dict)

    def seen_by(self, party: str) -> 'PartyDigestClient':
        """Return a client that reaches the entries as a party does."""
        return PartyDigestClient(self, party)


@dataclass(slots=True)
class PartyDigestClient:
    """Requests digests from entries in the same process."""

    digest_servers: DigestServers
    party: str

    async def pull(self, address: str, question: DigestRequest) -> DigestReply:
        """Return an entry's digest reply."""
        await self.digest_servers.network.carry(self.party, address)
        await self.digest_servers.network.resume(address)
        answer = self.digest_servers.by_address[address].answer(question)
        await self.digest_servers.network.carry(address, self.party)
        await self.digest_servers.network.resume(self.party)
        return answer


@dataclass(slots=True)
class EntryControl:
    """Probes, shares and evaluates evidence as an entry does.

    Explanation
    ===========
    The address of the node equals its id.
    """

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
        """Create the parts and register the digest server."""
        node = self.node
        key = prober_key(node.node_id, node.incarnation)
        self.book = EvidenceBook(self.clock, key)
        self.membership = Membership(node, self.clock)
        self.prober = Prober(self.clock, self.engines, self.book, node.node_id)
        uses = UseBook(self.clock)
        digest_server = DigestServer(
            self.book,
            EvidenceBook(self.clock, key, RIGHT_LATE_AFTER_S),
            self.directory,
            uses,
            node.failure_domain,
        )
        self.digest_servers.by_address[node.address] = digest_server
        self.sharing = EvidenceSharing(
            self.clock,
            self.membership,
            self.digest_servers.seen_by(node.node_id),
            self.book,
            uses,
            digest_server,
            self._leaving_uses,
        )

    def start(self) -> None:
        """Start probing and sharing evidence."""
        self.repeat(self.probe, PROBE_STEP_S)
        self.repeat(self.sharing.step, SHARE_INTERVAL_S)

    def repeat(
        self,
        step: Callable[[], Awaitable[object]],
        interval_s: float,
    ) -> None:
        """Repeat a step until the entry stops; wait while it is paused."""
        self.tasks.append(asyncio.create_task(self._repeat(step, interval_s)))

    def stop(self) -> None:
        """Stop at once, as in a crash."""
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
        # A random first delay keeps the nodes from acting in lockstep.
        await asyncio.sleep(interval_s * network.rng.random())
        while True:
            await network.resume(self.node.node_id)
            try:
                await step()
            except RudderError:
                continue
            finally:
                await asyncio.sleep(interval_s)

    def _leaving_uses(self) -> tuple[GroupUse, ...]:
        groups = self.directory.by_id.values()
        return tuple(leaving_uses(groups, self.book, self.in_flight_by_group))
