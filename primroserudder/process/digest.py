"""What the entries of a failure domain tell each other of its VMs.

Explanation
===========
A prober vouches for all its items at once: they are as it last told, and the
evidence is as old as the vouch says. Only changes are sent one by one. Ages
are durations, so that no two machines' clocks are compared.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import takewhile
from math import log2, sqrt

import xxhash

from .engines import EngineStatus

NEVER = float('-inf')
ONE_ROW_ENTRIES = 9


@dataclass(frozen=True, slots=True)
class Gone:
    """The VM refuses connections."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The prober no longer watches the item and says nothing about it."""


@dataclass(frozen=True, slots=True)
class RoutingRight:
    """A whole group may be given requests in this generation."""

    generation: int


Observation = EngineStatus | RoutingRight | Gone | Withdrawn


@dataclass(frozen=True, slots=True)
class GroupUse:
    """Requests that an entry has in flight at a leaving group."""

    group_id: str
    generation: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class EntryUse:
    """What an entry told of its use of leaving groups, and how long ago."""

    entry: int
    age_s: float
    leaving: Sequence[GroupUse]


@dataclass(frozen=True, slots=True)
class Change:
    """An item as a prober found it; ``sequence`` rises at each change."""

    prober: int
    sequence: int
    name: str
    observation: Observation


@dataclass(frozen=True, slots=True)
class Vouch:
    """The age of a prober's evidence, and the items that are older."""

    prober: int
    sequence: int
    age_s: float
    late_by_name: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """What one process asks of an entry."""

    sender: int
    answerer: int = 0
    after: int = 0
    is_relayed: bool = False
    wants_rights: bool = False
    wants_uses: bool = False
    leaving: Sequence[GroupUse] = ()


@dataclass(frozen=True, slots=True)
class DigestReply:
    """The vouches that an entry has, and the changes since a cursor."""

    sender: int
    cursor: int
    vouches: Sequence[Vouch] = ()
    changes: Sequence[Change] = ()
    uses: Sequence[EntryUse] = ()


@dataclass(slots=True)
class ChangeLog:
    """The latest change of each item, in the order of this process.

    Examples
    ========
    >>> log = ChangeLog()
    >>> log.add(Change(1, 1, 'vm0', Gone()))
    >>> log.add(Change(1, 2, 'vm0', RoutingRight(7)))
    >>> [change.sequence for change in log.after(0)]
    [2]
    >>> log.after(log.cursor)
    ()
    """

    cursor: int = 0
    _by_item: OrderedDict[tuple[int, str], tuple[int, Change]] = field(
        default_factory=OrderedDict,
    )

    def add(self, change: Change) -> None:
        """Append a change in place of the item's last one."""
        self.cursor += 1
        place = (change.prober, change.name)
        self._by_item[place] = (self.cursor, change)
        self._by_item.move_to_end(place)

    def after(self, cursor: int) -> Sequence[Change]:
        """Return the changes after a cursor, the oldest first.

        Explanation
        ===========
        What was withdrawn is told to everybody: who asks for the first time
        may have heard of the item from somebody else.
        """
        newest = takewhile(
            lambda entry: entry[0] > cursor,
            reversed(self._by_item.values()),
        )
        return tuple(reversed([change for _, change in newest]))

    def drop(self, prober: int) -> None:
        """Forget a prober that is gone."""
        gone = [place for place in self._by_item if place[0] == prober]
        for place in gone:
            self._by_item.pop(place)


@dataclass(slots=True)
class ProberReport:
    """What one prober tells, kept on this process's clock."""

    prober: int
    sequence: int = 0
    vouched_at: float = NEVER
    known_since: float = NEVER
    observation_by_name: dict[str, Observation] = field(default_factory=dict)
    late_by_name: dict[str, float] = field(default_factory=dict)

    def seen_at(self, name: str) -> float:
        """Return when an item was seen last, on this process's clock."""
        return self.late_by_name.get(name, self.vouched_at)

    def apply(self, change: Change) -> bool:
        """Take over a newer change and return whether it was one."""
        if change.sequence <= self.sequence:
            return False
        self.sequence = change.sequence
        if isinstance(change.observation, Withdrawn):
            self.observation_by_name.pop(change.name, None)
        else:
            self.observation_by_name[change.name] = change.observation
        return True

    def apply_vouch(self, vouch: Vouch, asked_at: float) -> None:
        """Take over a vouch that is newer than the last one.

        Explanation
        ===========
        The evidence is older than the answer by the age in the vouch, and
        the answer is younger than the question: counting from the question
        can only make the evidence seem older than it is.
        """
        vouched_at = asked_at - vouch.age_s
        if vouched_at < self.vouched_at:
            return
        # The changes up to the vouch came with the same answer or before it.
        # A change that came first, by another way, was seen after an older
        # vouch, so that the vouch's time is safe for it too.
        self.sequence = max(self.sequence, vouch.sequence)
        self.vouched_at = vouched_at
        self.late_by_name = {
            name: asked_at - age_s for name, age_s in vouch.late_by_name.items()
        }

    def vouch(self, now: float) -> Vouch:
        """Return the vouch as it is passed on."""
        return Vouch(
            self.prober,
            self.sequence,
            now - self.vouched_at,
            {name: now - at for name, at in self.late_by_name.items()},
        )


def prober_key(node_id: str, incarnation: str) -> int:
    """Return the short name of one start of a process."""
    return xxhash.xxh3_64_intdigest(f'{node_id}/{incarnation}'.encode())


def rendezvous(name: str, candidates: Iterable[str]) -> Iterator[str]:
    """Yield candidates by their rendezvous hash with a name.

    Examples
    ========
    >>> order = list(rendezvous('vm7', ['a', 'b', 'c']))
    >>> sorted(order)
    ['a', 'b', 'c']
    >>> rest = [entry for entry in order if entry != order[0]]
    >>> list(rendezvous('vm7', rest)) == rest
    True
    """
    yield from sorted(
        candidates,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            f'{candidate}/{name}'.encode(),
        ),
        reverse=True,
    )


def row_of(node_id: str, entries: int) -> int:
    """Return the row in which one of some entries of a domain stands.

    Explanation
    ===========
    Few entries stand in one row. A node's row follows from its id alone, and
    the number of rows is a power of two, so that a node that comes or goes
    moves no other.
    """
    if entries <= ONE_ROW_ENTRIES:
        return 0
    rows = 1 << int(log2(sqrt(entries)))
    return xxhash.xxh3_64_intdigest(node_id.encode()) % rows
