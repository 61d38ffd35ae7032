"""The evidence that entries of a failure domain exchange about its VMs.

Explanation
===========
An item is a VM or the routing right to a group. A prober sends a vouch, which
confirms all its items at once: they are unchanged since their last ``Change``,
and the vouch gives the age of that evidence. Only changes are sent one by
one. Ages are durations, so that no two VMs' clocks are compared.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import takewhile
from math import log2, sqrt

import xxhash

from .engines import EngineStatus

NEVER = float('-inf')
MAX_ONE_ROW_ENTRIES = 9


@dataclass(frozen=True, slots=True)
class Gone:
    """The VM refuses connections."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The prober no longer watches the item and reports nothing about it."""


@dataclass(frozen=True, slots=True)
class RoutingRight:
    """All members of a group serve this generation; it may get requests."""

    generation: int


Observation = EngineStatus | RoutingRight | Gone | Withdrawn


@dataclass(frozen=True, slots=True)
class GroupUse:
    """Number of requests that an entry has in flight at a leaving group."""

    group_id: str
    generation: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class EntryUse:
    """An entry's use of leaving groups, and the age of that report."""

    entry: int
    age_s: float
    leaving: Sequence[GroupUse]


@dataclass(frozen=True, slots=True)
class Change:
    """An item as its prober observed it; each change raises ``sequence``."""

    prober: int
    sequence: int
    name: str
    observation: Observation


@dataclass(frozen=True, slots=True)
class Vouch:
    """The age in seconds of a prober's evidence.

    Explanation
    ===========
    ``late_by_name`` gives the ages of the items whose evidence is older.
    """

    prober: int
    sequence: int
    age_s: float
    late_by_name: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """A request for the evidence of an entry.

    Explanation
    ===========
    ``after`` is the cursor of the last reply of the process with the key
    ``answerer``; zero asks for all changes.
    """

    sender: int
    answerer: int = 0
    after: int = 0
    is_relayed: bool = False
    wants_rights: bool = False
    wants_uses: bool = False
    leaving: Sequence[GroupUse] = ()


@dataclass(frozen=True, slots=True)
class DigestReply:
    """The vouches that an entry holds, and the changes since a cursor."""

    sender: int
    cursor: int
    vouches: Sequence[Vouch] = ()
    changes: Sequence[Change] = ()
    uses: Sequence[EntryUse] = ()


@dataclass(slots=True)
class ChangeLog:
    """The latest change of each item, in the order of arrival here.

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
        """Append a change and remove the earlier change of the same item."""
        self.cursor += 1
        item_key = (change.prober, change.name)
        self._by_item[item_key] = (self.cursor, change)
        self._by_item.move_to_end(item_key)

    def after(self, cursor: int) -> Sequence[Change]:
        """Return the changes after a cursor, the oldest first.

        Explanation
        ===========
        Withdrawals are included even for a peer that asks for the first
        time, as it may have learnt of the item from another process.
        """
        newest = takewhile(
            lambda entry: entry[0] > cursor,
            reversed(self._by_item.values()),
        )
        return tuple(reversed([change for _, change in newest]))

    def drop(self, prober: int) -> None:
        """Remove all changes of a prober."""
        item_keys = [
            item_key for item_key in self._by_item if item_key[0] == prober
        ]
        for item_key in item_keys:
            self._by_item.pop(item_key)


@dataclass(slots=True)
class ProberReport:
    """The evidence of one prober; times are on this process's clock.

    Explanation
    ===========
    ``late_by_name`` holds the times of items that were observed earlier than
    ``vouched_at``; for this process's own report, of all its items.
    """

    prober: int
    sequence: int = 0
    vouched_at: float = NEVER
    created_at: float = NEVER
    observation_by_name: dict[str, Observation] = field(default_factory=dict)
    late_by_name: dict[str, float] = field(default_factory=dict)

    def seen_at(self, name: str) -> float:
        """Return the time at which the prober last observed an item."""
        return self.late_by_name.get(name, self.vouched_at)

    def apply(self, change: Change) -> bool:
        """Apply a change if it is newer; return whether it was applied."""
        if change.sequence <= self.sequence:
            return False
        self.sequence = change.sequence
        if isinstance(change.observation, Withdrawn):
            self.observation_by_name.pop(change.name, None)
        else:
            self.observation_by_name[change.name] = change.observation
        return True

    def apply_vouch(self, vouch: Vouch, asked_at: float) -> None:
        """Apply a vouch unless a newer one has been applied.

        Explanation
        ===========
        The evidence is older than the reply by the age in the vouch, and the
        reply was sent after the request. Counting the age from the request
        can only overstate it.
        """
        vouched_at = asked_at - vouch.age_s
        if vouched_at < self.vouched_at:
            return
        # The changes up to the vouch came in the same reply or earlier. A
        # change that arrived earlier through another peer was observed after
        # an older vouch, so the time of the vouch is safe for it too.
        self.sequence = max(self.sequence, vouch.sequence)
        self.vouched_at = vouched_at
        self.late_by_name = {
            name: asked_at - age_s for name, age_s in vouch.late_by_name.items()
        }

    def vouch(self, now: float) -> Vouch:
        """Return the prober's vouch, its ages as of ``now``, for relaying."""
        return Vouch(
            self.prober,
            self.sequence,
            now - self.vouched_at,
            {name: now - at for name, at in self.late_by_name.items()},
        )


def prober_key(node_id: str, incarnation: str) -> int:
    """Return the key of one start of a process, a 64-bit hash."""
    return xxhash.xxh3_64_intdigest(f'{node_id}/{incarnation}'.encode())


def rendezvous(name: str, candidates: Iterable[str]) -> Iterator[str]:
    """Yield candidates in descending order of their hash with a name.

    Explanation
    ===========
    This is rendezvous hashing: removing a candidate leaves the order of the
    others as it was.

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


def row_index(node_id: str, entries: int) -> int:
    """Return the index of the row to which an entry of a domain belongs.

    Explanation
    ===========
    Up to ``MAX_ONE_ROW_ENTRIES`` entries form one row. Above that, the hash of
    the node's id gives its row, and the number of rows is a power of two. So
    a node that joins or leaves moves no other node to another row, unless the
    number of rows changes.
    """
    if entries <= MAX_ONE_ROW_ENTRIES:
        return 0
    rows = 1 << int(log2(sqrt(entries)))
    return xxhash.xxh3_64_intdigest(node_id.encode()) % rows
