"""Decides what goes to which neighbour, and looks for unknown VMs."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from .links import Links
from .notice import Direction
from .noticesender import NoticeSender, State
from .peeraddresses import PeerAddresses
from .tree import Tree

# Other domains are sent to every second tick, at most so many at once.
REMOTE_TICKS = 2
REMOTE_AT_ONCE = 4
# Domains without a known root, and silent VMs of the own domain, are looked
# for at this interval.
SEARCH_INTERVAL_S = 0.5


@dataclass(slots=True)
class Publisher:
    """Sends this VM's state to its neighbours at each tick."""

    peers: PeerAddresses
    tree: Tree
    links: Links
    sender: NoticeSender
    rng: random.Random = field(default_factory=random.Random)
    _turn: int = 0
    _searched_at: float = float('-inf')

    def send_states(self, now: float) -> None:
        """Send to the neighbours, beginning with another one each time."""
        self._turn += 1
        if self.tree.parent:
            link = self.links.link(self.tree.parent)
            state = self._state_above(Direction.TO_PARENT, now)
            self.sender.send_state(link, state, now)
        self._send_to_domains(now)
        children = self.tree.children.ordered()
        for child in _rotated(children, self._turn):
            self._send_to_child(child, now)
        if now - self._searched_at >= SEARCH_INTERVAL_S:
            self._searched_at = now
            self._search(now)

    def _state_above(self, direction: Direction, now: float) -> State:
        """Return what this VM and those below it know."""
        children = self.tree.children.heard_at
        return State(
            direction,
            self.links.facts(children, now),
            self.links.upward_parts(children),
        )

    def _send_to_child(self, child: str, now: float) -> None:
        state = State(
            Direction.TO_CHILD,
            self.links.facts(self.tree.neighbours() - {child}, now),
            self.links.downward_parts(child),
        )
        self.sender.send_state(self.links.link(child), state, now)

    def _send_to_domains(self, now: float) -> None:
        """Send this domain's state to the roots of some other domains."""
        if self._turn % REMOTE_TICKS:
            return
        roots = self.tree.representatives.all()
        if not self.tree.is_root(now) or not roots:
            return
        state = self._state_above(Direction.TO_DOMAIN, now)
        turn = self._turn // REMOTE_TICKS * REMOTE_AT_ONCE
        for root in _rotated(roots, turn)[:REMOTE_AT_ONCE]:
            self.sender.send_state(self.links.link(root), state, now)

    def _search(self, now: float) -> None:
        """Look for a silent VM of this domain, and for unknown roots."""
        silent = set(self.peers.neighbours()) - set(self.tree.neighbours())
        if silent:
            address = self.rng.choice(sorted(silent))
            self.sender.ask(address, Direction.QUESTION)
        if not self.tree.is_root(now):
            return
        known = self.tree.representatives.heard_at_by_domain
        addresses_by_domain = self.peers.remote_addresses_by_domain()
        for domain, addresses in addresses_by_domain.items():
            if domain not in known:
                self.sender.introduce(self.rng.choice(addresses))


def _rotated(addresses: Sequence[str], turn: int) -> Sequence[str]:
    """Return addresses, beginning with another one at each turn.

    Examples
    ========
    >>> _rotated('abc', 4)
    ['b', 'c', 'a']
    """
    if not addresses:
        return addresses
    first = turn % len(addresses)
    return [*addresses[first:], *addresses[:first]]
