"""Finds the groups that the listed engines report, claimed or not.

Explanation
===========
A claim may be missing from the store: its transaction was lost when the store
came back from a copy. The engines still report their memberships, from which
the group can be claimed again or dissolved safely.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .directorynames import STANDBY_SUFFIX, model_of
from .model import Engine, Formation, GroupState

# Stands for a head that is not listed; no engine has this id.
UNKNOWN_HEAD = 'unknown head'


@dataclass(frozen=True, slots=True)
class ListedGroup:
    """A group as its listed members report it, by rank."""

    name: str
    epoch: int
    members_by_rank: Mapping[int, Engine]

    @property
    def head(self) -> Engine | None:
        """Return the member that takes requests, if it is listed."""
        return self.members_by_rank.get(0)

    def takes_requests(self) -> bool:
        """Return whether the head is listed as open or closing."""
        if self.head is None or self.head.membership is None:
            return False
        state = self.head.membership.state
        return state in {GroupState.OPEN, GroupState.CLOSING}

    def is_complete(self, group_size: int) -> bool:
        """Return whether all members of a group are listed."""
        return set(self.members_by_rank) == set(range(group_size))

    def formation(self) -> Formation:
        """Return the formation of the listed members.

        Explanation
        ===========
        If the head is not listed, a placeholder stands in its place: it may
        still take requests, so that its members become free only after the
        time for which a head waits for lost members.
        """
        listed = tuple(
            self.members_by_rank[rank].engine_id
            for rank in sorted(self.members_by_rank)
        )
        members = (UNKNOWN_HEAD, *listed) if self.head is None else listed
        return Formation(self.name, self.epoch, model_of(self.name), members)

    def born_by_member(self) -> Mapping[str, int]:
        """Return the start times of the listed members by engine id."""
        return {
            engine.engine_id: engine.born_ms
            for engine in self.members_by_rank.values()
        }


def listed_groups(engines: Iterable[Engine]) -> list[ListedGroup]:
    """Return the groups that engines report, without standbys."""
    members: defaultdict[tuple[str, int], dict[int, Engine]] = defaultdict(dict)
    for engine in engines:
        membership = engine.membership
        if membership is None or membership.group.endswith(STANDBY_SUFFIX):
            continue
        key = membership.group, membership.epoch
        members[key][membership.rank] = engine
    return [
        ListedGroup(name, epoch, by_rank)
        for (name, epoch), by_rank in members.items()
    ]
