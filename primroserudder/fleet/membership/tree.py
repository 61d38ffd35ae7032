"""Decides which routers of a failure domain are neighbours in its tree.

Explanation
===========
Every VM but the root has one parent, which comes before it in the order of
``PeerAddresses``, so that there are no cycles whatever each VM knows. A VM
without a parent asks VMs before it; the first that answers names its root, and
the VM becomes a child of that root. A VM with more children than its link
carries redirects the last ones to the first ones. The number of neighbours of
a VM is therefore bounded, and grows neither with the domain nor with the site.

A root that hears of a VM before it joins that VM together with its own
children, so that a fast VM that starts again gets its place back. Nothing here
reads a socket or a clock.
"""

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .children import Children
from .notice import Direction, Notice
from .peeraddresses import PeerAddresses
from .representatives import Representatives

# Parents send to their children at least each 0.3 s.
PARENT_TIMEOUT_S = 0.7
# A VM that found no parent for this long is the root of its domain.
FIRST_SETTLING_S = 1.0
SETTLING_S = 0.5
QUESTION_INTERVAL_S = 0.1
# A settled root asks less often whether a VM before it is back.
ROOT_QUESTION_INTERVAL_S = 0.5
QUESTIONS_AT_ONCE = 4
MAX_ANCESTORS = 3


@dataclass(slots=True)
class Tree:
    """This VM's neighbours: parent, children, and roots of other domains.

    Parameters
    ==========
    began_at : float
        Monotonic time of the start, in seconds.
    children_limit : int
        Number of children beyond which further ones are redirected.
    ancestors : tuple of str
        Addresses of the parent, the next ancestor and the root.
    rank : int
        Position of this VM in its domain, zero for the root.
    backup : str
        Address of the root's first child, empty if it has none.
    """

    peers: PeerAddresses
    began_at: float
    children_limit: int
    parent: str = ''
    ancestors: tuple[str, ...] = ()
    rank: int = 0
    backup: str = ''
    children: Children = field(init=False)
    representatives: Representatives = field(default_factory=Representatives)
    _parent_heard_at: float = 0
    _orphaned_at: float = field(init=False)
    _settling_s: float = FIRST_SETTLING_S
    _asked_at: float = float('-inf')
    _first_asked: tuple[str, ...] = ()
    _turns: Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Begin without a parent."""
        self.children = Children(self.peers, self.children_limit)
        self._orphaned_at = self.began_at

    def is_settled(self, now: float) -> bool:
        """Return whether this VM has a parent, or found that it is a root."""
        return bool(self.parent) or (
            now - self._orphaned_at >= self._settling_s
        )

    def is_root(self, now: float) -> bool:
        """Return whether this VM speaks for its failure domain."""
        return not self.parent and self.is_settled(now)

    def neighbours(self) -> set[str]:
        """Return the parent, the children and the other domains' roots."""
        return {
            *self.children.heard_at,
            *self.representatives.all(),
            self.parent,
        }

    def backup_to_name(self) -> str:
        """Return the address of the root's first child, for children."""
        if self.parent:
            return self.backup
        return next(iter(self.children.ordered()), '')

    def relays(self) -> Sequence[str]:
        """Return the VMs to read tables from, the nearest first.

        Explanation
        ===========
        Only the root reads the store, and its first child where the root
        can't, so that no two VMs take each other's copies for current.
        """
        backup = self.backup if self.rank > 1 else ''
        relays = dict.fromkeys((*self.own_ancestors(), backup))
        return [relay for relay in relays if relay]

    def own_ancestors(self) -> tuple[str, ...]:
        """Return the ancestors to name to others: at most three."""
        return self.ancestors[: MAX_ANCESTORS - 1] + self.ancestors[-1:]

    def expire(self, now: float) -> None:
        """Drop the neighbours that were silent for too long."""
        if self.parent and now - self._parent_heard_at > PARENT_TIMEOUT_S:
            self._become_orphan(now)
        self.children.expire(now)
        self.representatives.expire(now)

    def questions(self, now: float) -> Sequence[str]:
        """Return the addresses to ask now whether they can be the parent."""
        if self.parent:
            return ()
        interval_s = (
            ROOT_QUESTION_INTERVAL_S
            if self.is_settled(now)
            else QUESTION_INTERVAL_S
        )
        earlier = self.peers.earlier_neighbours()
        if not earlier or now - self._asked_at < interval_s:
            return ()
        self._asked_at = now
        first = self._first_asked
        self._first_asked = ()
        if first:
            return first
        turn = next(self._turns) * QUESTIONS_AT_ONCE
        places = range(turn, turn + min(QUESTIONS_AT_ONCE, len(earlier)))
        return [earlier[place % len(earlier)] for place in places]

    def note(self, sender: str, notice: Notice, now: float) -> bool:
        """Record a notice; return whether its sender is a neighbour."""
        if notice.direction is Direction.TO_DOMAIN:
            domain = notice.failure_domain
            is_for_root = domain != self.peers.failure_domain
            if is_for_root and not self.parent:
                self.representatives.note(domain, sender, now)
            return is_for_root and not self.parent
        if notice.direction is Direction.TO_PARENT:
            return self._note_child(sender, notice, now)
        if notice.direction is Direction.TO_CHILD:
            return self._note_parent(sender, notice, now)
        self._note_candidate(sender, notice, now)
        return False

    def _note_child(self, sender: str, notice: Notice, now: float) -> bool:
        is_own = notice.failure_domain == self.peers.failure_domain
        if not is_own or self.peers.is_earlier(sender):
            return False
        if notice.is_leaving:
            self.children.remove(sender)
            return False
        self.children.note(sender, now)
        return True

    def _note_parent(self, sender: str, notice: Notice, now: float) -> bool:
        if sender != self.parent:
            return False
        self._parent_heard_at = now
        self.ancestors = (sender, *notice.ancestors)
        self.rank = notice.rank
        self.backup = notice.backup
        if notice.redirect and self.peers.is_earlier(notice.redirect):
            self._join(notice.redirect, now)
            return False
        return True

    def _note_candidate(self, sender: str, notice: Notice, now: float) -> None:
        if self.parent or notice.failure_domain != self.peers.failure_domain:
            return
        root = notice.ancestors[-1] if notice.ancestors else sender
        for candidate in (root, sender):
            if self.peers.knows(candidate) and self.peers.is_earlier(candidate):
                self._join(candidate, now)
                return

    def _join(self, parent: str, now: float) -> None:
        self.children.remove(parent)
        self.parent = parent
        self.ancestors = (parent,)
        self._parent_heard_at = now
        self.representatives.clear()

    def _become_orphan(self, now: float) -> None:
        lost = self.parent
        self._first_asked = tuple(
            ancestor
            for ancestor in self.ancestors
            if ancestor != lost and self.peers.is_earlier(ancestor)
        )
        self.parent = ''
        self.ancestors = ()
        self.rank = 0
        self.backup = ''
        self._orphaned_at = now
        self._settling_s = SETTLING_S
        self._asked_at = float('-inf')
