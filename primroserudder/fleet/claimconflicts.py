"""Finds groups that share engines, and decides which of them stands.

Explanation
===========
Claims of one tenure never share engines, but a group without a claim may hold
engines of a claimed one, and whatever else wrote a claim may be at fault. An
engine of two groups gets no join until one of them has ended.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from functools import partial

from .group_lifecycle import GroupProgress, is_member
from .listedgroups import UNKNOWN_HEAD
from .model import Engine, Formation


@dataclass(frozen=True, slots=True)
class HeldEngines:
    """Which engines other groups than the one in question may hold."""

    groups_by_name: Mapping[str, GroupProgress]
    shared_ids: AbstractSet[str]

    def may_join(self, engine: Engine, formation: Formation) -> bool:
        """Return whether no other known group holds an engine.

        Explanation
        ===========
        A group holds the engines that it claims and those that report it. Once
        it was released, it holds none.
        """
        if engine.engine_id in self.shared_ids:
            return False
        reported = engine.membership
        return (
            reported is None
            or reported.group == formation.name
            or reported.group not in self.groups_by_name
        )


def held_engines(groups_by_name: Mapping[str, GroupProgress]) -> HeldEngines:
    """Return the engines that groups hold."""
    counts = Counter(
        itertools.chain.from_iterable(
            progress.formation.members for progress in groups_by_name.values()
        )
    )
    shared = {member for member, count in counts.items() if count > 1}
    return HeldEngines(groups_by_name, shared - {UNKNOWN_HEAD})


def conflicting_groups(
    groups: Collection[GroupProgress],
    engines_by_id: Mapping[str, Engine],
) -> Iterator[tuple[GroupProgress, GroupProgress]]:
    """Yield each group that must end with the one that it has to give way to.

    Explanation
    ===========
    A group whose head has joined it stands before one whose head hasn't, as it
    may serve. Of others that with more members stands, then the earlier one.
    """
    standing_by_member: dict[str, GroupProgress] = {}
    for progress in _by_precedence(groups, engines_by_id):
        members = progress.formation.members
        others = (standing_by_member.get(member) for member in members)
        other = next((found for found in others if found is not None), None)
        if other is None:
            standing_by_member.update(dict.fromkeys(members, progress))
        else:
            yield progress, other


def _by_precedence(
    groups: Iterable[GroupProgress], engines_by_id: Mapping[str, Engine]
) -> list[GroupProgress]:
    serving = (progress for progress in groups if not progress.is_dissolving)
    return sorted(serving, key=partial(_precedence, engines_by_id))


def _precedence(
    engines_by_id: Mapping[str, Engine], progress: GroupProgress
) -> tuple[bool, int, int]:
    formation = progress.formation
    joined = [
        member
        for member in formation.members
        if member in engines_by_id
        and is_member(engines_by_id[member], formation)
    ]
    return formation.head not in joined, -len(joined), formation.epoch
