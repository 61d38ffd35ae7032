"""Divides the groups of a failure domain among its entries."""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from operator import attrgetter

import xxhash

from ..process.groups import GroupRecord
from ..process.membership import Membership

FORGOTTEN_S = 600.0
NEVER = float('-inf')


def _no_peers() -> Sequence[str]:
    return ()


@dataclass(slots=True)
class Subset:
    """The groups that this entry turns to first, of those that are equal.

    Explanation
    ===========
    Entries can't see each other's latest choices. When each one begins with
    groups of its own, their choices seldom meet, and each knows its own
    groups' load exactly. All entries divide alike as far as they know the
    same entries and groups; where they differ, only the preference does.

    Examples
    ========
    >>> subset = Subset('e1', lambda: ['e1', 'e2'])
    >>> subset.share(['g1', 'g2', 'g3', 'g4'])
    ['g2', 'g4']
    """

    own_id: str = ''
    entries: Callable[[], Iterable[str]] = field(default=_no_peers)
    by_deployment: Mapping[str, Sequence[GroupRecord]] = field(
        default_factory=dict,
    )
    preferred: frozenset[str] = frozenset()

    def renew(self, groups: Iterable[GroupRecord]) -> None:
        """Divide anew among the entries that live now."""
        by_deployment: dict[str, list[GroupRecord]] = {}
        for group in groups:
            by_deployment.setdefault(group.deployment, []).append(group)
        self.by_deployment = {
            name: self._own_of(found) for name, found in by_deployment.items()
        }
        owned = itertools.chain.from_iterable(self.by_deployment.values())
        self.preferred = frozenset(map(attrgetter('group_id'), owned))

    def share(self, group_ids: Iterable[str]) -> Sequence[str]:
        """Return this entry's part of some groups."""
        entries = sorted({*self.entries(), self.own_id})
        place = entries.index(self.own_id)
        return sorted(group_ids, key=_scattered)[place :: len(entries)]

    def _own_of(self, groups: Sequence[GroupRecord]) -> Sequence[GroupRecord]:
        by_id = {group.group_id: group for group in groups}
        return [by_id[group_id] for group_id in self.share(by_id)]


def serving_entries(membership: Membership) -> Sequence[str]:
    """Return the entries of the own failure domain that take requests."""
    own = membership.own
    place = ('entry', own.failure_domain)
    return [
        peer.node.node_id
        for peer in membership.live_peers()
        if (peer.node.role, peer.node.failure_domain) == place
        and not peer.is_draining
    ]


def possibly_alive_entries(membership: Membership) -> Sequence[str]:
    """Return all entries that may be alive, whether they can be reached or not.

    Explanation
    ===========
    One that was heard once and then not for ``FORGOTTEN_S`` is taken for gone.
    """
    earliest = membership.clock.monotonic() - FORGOTTEN_S
    return [
        peer.node.node_id
        for peer in membership.by_id.values()
        if peer.node.role == 'entry'
        and (peer.last_contact_at >= earliest or peer.last_contact_at == NEVER)
    ]


def _scattered(group_id: str) -> int:
    return xxhash.xxh3_64_intdigest(group_id.encode())
