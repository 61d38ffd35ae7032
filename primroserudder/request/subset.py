"""Divides the groups of a failure domain among its entries."""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from operator import attrgetter

import xxhash

from ..process.groups import GroupRecord
from ..process.membership import Membership

PEER_EXPIRY_S = 600.0
NEVER_HEARD = float('-inf')


def _no_peers() -> Sequence[str]:
    return ()


@dataclass(slots=True)
class Subset:
    """Groups that this entry prefers among equally good ones.

    Explanation
    ===========
    Entries can't see each other's most recent choices. If each entry prefers
    its own subset of groups, entries seldom choose the same group at the
    same time, and each has exact load counts for its own subset. All entries
    compute the same division if they know the same entries and groups.
    Otherwise only their preferences are inconsistent.

    Examples
    ========
    >>> subset = Subset('e1', lambda: ['e1', 'e2'])
    >>> subset.own_share(['g1', 'g2', 'g3', 'g4'])
    ['g2', 'g4']
    """

    own_id: str = ''
    entries: Callable[[], Iterable[str]] = field(default=_no_peers)
    by_deployment: Mapping[str, Sequence[GroupRecord]] = field(
        default_factory=dict,
    )
    preferred: frozenset[str] = frozenset()

    def renew(self, groups: Iterable[GroupRecord]) -> None:
        """Divide the groups among the entries that are currently alive."""
        by_deployment: dict[str, list[GroupRecord]] = {}
        for group in groups:
            by_deployment.setdefault(group.deployment, []).append(group)
        self.by_deployment = {
            name: self._own_groups(members)
            for name, members in by_deployment.items()
        }
        owned = itertools.chain.from_iterable(self.by_deployment.values())
        self.preferred = frozenset(map(attrgetter('group_id'), owned))

    def own_share(self, group_ids: Iterable[str]) -> Sequence[str]:
        """Return the ids of this entry's share of the given groups."""
        entries = sorted({*self.entries(), self.own_id})
        own_index = entries.index(self.own_id)
        return sorted(group_ids, key=_hash)[own_index :: len(entries)]

    def _own_groups(
        self, groups: Sequence[GroupRecord]
    ) -> Sequence[GroupRecord]:
        by_id = {group.group_id: group for group in groups}
        return [by_id[group_id] for group_id in self.own_share(by_id)]


def serving_entries(membership: Membership) -> Sequence[str]:
    """Return ids of the local failure domain's entries that serve."""
    own = membership.own
    role_and_domain = ('entry', own.failure_domain)
    return [
        peer.node.node_id
        for peer in membership.live_peers()
        if (peer.node.role, peer.node.failure_domain) == role_and_domain
        and not peer.is_draining
    ]


def possibly_alive_entries(membership: Membership) -> Sequence[str]:
    """Return ids of all entries that may be alive, reachable or not.

    Explanation
    ===========
    An entry counts as dead if its last message is ``PEER_EXPIRY_S`` old. An
    entry from which no message ever came counts as possibly alive.
    """
    earliest = membership.clock.monotonic() - PEER_EXPIRY_S
    return [
        peer.node.node_id
        for peer in membership.by_id.values()
        if peer.node.role == 'entry'
        and (
            peer.last_contact_at >= earliest
            or peer.last_contact_at == NEVER_HEARD
        )
    ]


def _hash(group_id: str) -> int:
    return xxhash.xxh3_64_intdigest(group_id.encode())
