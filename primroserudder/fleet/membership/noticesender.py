"""Composes the notices of this VM and sends those that are due."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..upgrades.formats import NOTICE_FORMAT
from .bytebudget import ByteBudget
from .link import Link
from .notice import (
    MAX_DATAGRAM_BYTES,
    Direction,
    Facts,
    LoadPart,
    Notice,
    Strikes,
    encode_notice,
)
from .peeraddresses import PeerAddresses
from .tree import Tree


@dataclass(frozen=True, slots=True)
class State:
    """What to tell a neighbour: facts, and the load in parts."""

    direction: Direction
    facts: Facts
    parts: Sequence[LoadPart]


@dataclass(slots=True)
class NoticeSender:
    """Sends notices within the budget of bytes.

    Parameters
    ==========
    transmit : Callable
        Sends a datagram to an address.
    own_strikes : Callable
        Returns the ids of the strikes that this VM knows.
    """

    peers: PeerAddresses
    tree: Tree
    budget: ByteBudget
    transmit: Callable[[bytes, str], None]
    own_strikes: Callable[[], Strikes]
    incarnation: int = field(default_factory=time.time_ns)
    sent_datagrams: int = 0
    sent_bytes: int = 0
    _sequence: int = 0

    def ask(self, address: str, direction: Direction) -> None:
        """Send a question, or the answer to one."""
        ancestors = self.tree.own_ancestors()
        self._send(address, self._notice(direction, ancestors=ancestors))

    def introduce(self, address: str) -> None:
        """Name this VM as its domain's root to a VM of another domain."""
        origin = self.peers.own_address
        notice = self._notice(Direction.TO_DOMAIN, origin=origin)
        self._send(address, notice)

    def leave(self, parent: str) -> None:
        """Tell a VM that this one is not its child."""
        if parent:
            leaving = self._notice(Direction.TO_PARENT, is_leaving=True)
            self._send(parent, leaving)

    def forward(self, packet: bytes, address: str) -> None:
        """Send a datagram, for example another VM's notice."""
        self.sent_datagrams += 1
        self.sent_bytes += len(packet)
        self.budget.spend(len(packet))
        self.transmit(packet, address)

    def send_state(self, link: Link, state: State, now: float) -> None:
        """Send what changed, or all again after an interval.

        Explanation
        ===========
        Over the budget only facts are sent, so that the neighbour knows that
        this VM lives.
        """
        known = self.own_strikes()
        for load in self._due_loads(link, state, known, now):
            strikes = link.outbox.next_strikes(known)
            self._send_load(link.address, state, load, strikes)
            link.outbox.record_sent(state.facts, load, strikes, now)

    def _due_loads(
        self, link: Link, state: State, known: Strikes, now: float
    ) -> Sequence[LoadPart | None]:
        """Return a load for each notice to send, ``None`` for facts only."""
        outbox = link.outbox
        if not self.budget.has_left():
            return (None,) if outbox.is_overdue(now) else ()
        parts = outbox.due_parts(state.parts, state.facts, now)
        if not parts and outbox.has_unsent(known):
            return (None,)
        return parts

    def _send_load(
        self,
        address: str,
        state: State,
        load: LoadPart | None,
        strikes: Strikes,
    ) -> None:
        place = self._place(address, state.direction)
        facts = {'facts': state.facts, **place}
        whole = self._notice(
            state.direction, strikes=strikes, load=load, **facts
        )
        packet = encode_notice(whole)
        if len(packet) <= MAX_DATAGRAM_BYTES:
            self.forward(packet, address)
            return
        # Each has room for the facts, but not for strikes and load together.
        for apart in ({'strikes': strikes}, {'load': load}):
            self._send(address, self._notice(state.direction, **facts, **apart))

    def _place(self, address: str, direction: Direction) -> dict[str, object]:
        """Return what a notice says of the tree."""
        if direction is Direction.TO_DOMAIN:
            return {'origin': self.peers.own_address}
        if direction is not Direction.TO_CHILD:
            return {}
        return {
            'rank': self.tree.children.rank_of(address, self.tree.rank),
            'ancestors': self.tree.own_ancestors(),
            'backup': self.tree.backup_to_name(),
            'redirect': self.tree.children.redirect_for(address),
        }

    def _notice(self, direction: Direction, **fields: object) -> Notice:
        self._sequence += 1
        return Notice(
            direction,
            self.incarnation,
            self._sequence,
            self.peers.failure_domain,
            self.peers.own_speed,
            version=NOTICE_FORMAT,
            **fields,  # type: ignore[arg-type]
        )

    def _send(self, address: str, notice: Notice) -> None:
        self.forward(encode_notice(notice), address)
