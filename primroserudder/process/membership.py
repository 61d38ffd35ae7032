"""The peers of a process, found through the platform and other peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..errors import RudderError
from .clock import Clock
from .platform import PlatformClient, Row, Transaction, Write

NODE_PREFIX = 'nodes/'
PEER_LIFETIME_S = 10


@dataclass(frozen=True, slots=True)
class Node:
    """The identity and address of a process of the system."""

    node_id: str
    incarnation: str
    failure_domain: str
    role: str
    address: str


@dataclass(frozen=True, slots=True)
class Peer:
    """A peer, the time of its last message and what that reported."""

    node: Node
    last_contact_at: float
    version: int = 0
    is_draining: bool = False


@dataclass(slots=True)
class Membership:
    """The known peers of a process, by node id."""

    own: Node
    clock: Clock
    by_id: dict[str, Peer] = field(default_factory=dict)

    def note_contact(
        self,
        node: Node,
        version: int = 0,
        *,
        is_draining: bool = False,
    ) -> None:
        """Record a message that came from the peer itself."""
        if node.node_id == self.own.node_id:
            return
        now = self.clock.monotonic()
        self.by_id[node.node_id] = Peer(node, now, version, is_draining)

    def add_nodes(self, nodes: Iterable[Node]) -> None:
        """Add nodes that were reported by the platform or another peer."""
        for node in nodes:
            is_own = node.node_id == self.own.node_id
            if not is_own and node.node_id not in self.by_id:
                self.by_id[node.node_id] = Peer(node, float('-inf'))

    def live_peers(self) -> Iterable[Peer]:
        """Return the peers that sent a message within the peer lifetime."""
        earliest = self.clock.monotonic() - PEER_LIFETIME_S
        return [
            peer
            for peer in self.by_id.values()
            if peer.last_contact_at >= earliest
        ]

    def nodes(self) -> Iterable[Node]:
        """Return all known nodes, this one first."""
        return (self.own, *(peer.node for peer in self.by_id.values()))

    def dump(self) -> Mapping[str, object]:
        """Return the peers for the state dump."""
        now = self.clock.monotonic()
        return {
            node_id: {
                'role': peer.node.role,
                'failure_domain': peer.node.failure_domain,
                'address': peer.node.address,
                'incarnation': peer.node.incarnation,
                'version': peer.version,
                'draining': peer.is_draining,
                'heard_s_ago': _age(now, peer.last_contact_at),
            }
            for node_id, peer in self.by_id.items()
        }


async def register(platform: PlatformClient, node: Node) -> bool:
    """Write the node's row and return whether the commit succeeded."""
    fields = {
        'node_id': node.node_id,
        'incarnation': node.incarnation,
        'failure_domain': node.failure_domain,
        'role': node.role,
        'address': node.address,
    }
    write = Write(f'{NODE_PREFIX}{node.node_id}', fields)
    try:
        await platform.commit(Transaction((), (write,)))
    except RudderError:
        return False
    return True


async def read_nodes(platform: PlatformClient) -> Iterable[Node]:
    """Return the nodes that have a row in the platform's table."""
    rows = await platform.scan(NODE_PREFIX)
    return [_node(row) for row in rows]


def _node(row: Row) -> Node:
    texts = {name: str(value) for name, value in row.fields.items()}
    return Node(**texts)


def _age(now: float, last_contact_at: float) -> float | None:
    return (
        None
        if last_contact_at == float('-inf')
        else round(now - last_contact_at, 3)
    )
