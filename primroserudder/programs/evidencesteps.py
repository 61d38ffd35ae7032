"""The evidence parts of a node, wired together."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..connection.digests import EvidenceService, GrpcDigestClient
from ..process.digest import GroupUse, prober_key
from ..process.engines import EngineClient
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory
from ..process.probing import PROBE_STEP_S, Prober
from ..process.reach import ReachabilityMonitor
from ..process.sharing import (
    SHARE_INTERVAL_S,
    DigestServer,
    EvidenceSharing,
    leaving_uses,
)
from ..process.uses import UseBook
from ..wire import evidence_pb2_grpc
from .node import NodeRuntime

# The age of a right to a group includes the probe and two exchanges.
RIGHT_LATE_AFTER_S = 2.5


@dataclass(slots=True)
class EvidenceSteps:
    """Probes and shares evidence; created after the peers' port is bound.

    Explanation
    ===========
    A controller shares evidence, but neither probes nor serves digests.
    """

    runtime: NodeRuntime
    directory: GroupDirectory
    engines: EngineClient
    in_flight_by_group: Mapping[str, int] = field(default_factory=dict)
    book: EvidenceBook = field(init=False)
    uses: UseBook = field(init=False)
    prober: Prober = field(init=False)
    digest_server: DigestServer = field(init=False)
    sharing: EvidenceSharing = field(init=False)
    reach: ReachabilityMonitor = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts."""
        runtime = self.runtime
        own = runtime.membership.own
        key = prober_key(own.node_id, own.incarnation)
        self.book = EvidenceBook(runtime.clock, key)
        self.uses = UseBook(runtime.clock)
        self.prober = Prober(
            runtime.clock,
            self.engines,
            self.book,
            own.node_id,
        )
        self.digest_server = DigestServer(
            book=self.book,
            rights=EvidenceBook(runtime.clock, key, RIGHT_LATE_AFTER_S),
            directory=self.directory,
            uses=self.uses,
            own_domain=own.failure_domain,
        )
        self.sharing = EvidenceSharing(
            clock=runtime.clock,
            membership=runtime.membership,
            client=GrpcDigestClient(runtime.channels),
            book=self.book,
            uses=self.uses,
            digest_server=self.digest_server,
            leaving=self._leaving,
        )
        self.reach = ReachabilityMonitor(
            self.prober, self.sharing, runtime.metrics
        )

    def answer_peers(self) -> None:
        """Register the service; call this before the peers' server starts."""
        evidence_pb2_grpc.add_EvidenceServicer_to_server(
            EvidenceService(self.digest_server),
            self.runtime.peer_server,
        )

    def start(self) -> None:
        """Start to poll peers and, on an entry, to probe VMs."""
        state = self.runtime.state
        state.register('evidence', self.book.dump)
        state.register('evidence_peers', self.sharing.dump)
        state.register('leaving_uses', self.uses.dump)
        self.runtime.start_step(
            self.sharing.step,
            SHARE_INTERVAL_S,
            'share_evidence',
        )
        if self.runtime.role == 'entry':
            self._start_probing()

    def _start_probing(self) -> None:
        self.runtime.state.register('probes', self.prober.dump)
        self.runtime.state.register('reach', self.reach.dump)
        self.runtime.stack.callback(self.prober.stop)
        self.runtime.start_step(self._probe, PROBE_STEP_S, 'probe')

    async def _probe(self) -> None:
        own = self.runtime.membership.own
        members = self.directory.members_of_domain(own.failure_domain)
        self.prober.step(members, *self.sharing.neighbours())
        self.reach.step()

    def _leaving(self) -> Sequence[GroupUse]:
        groups = self.directory.by_id.values()
        return leaving_uses(groups, self.book, self.in_flight_by_group)
