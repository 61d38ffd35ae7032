"""What the entries tell of their use of groups that are leaving."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field

from .clock import Clock
from .digest import EntryUse, GroupUse

USE_KEPT_S = 600


@dataclass(frozen=True, slots=True)
class NotedUse:
    """An entry's use of leaving groups, and when it told of it."""

    asked_at: float
    in_flight_by_group: Mapping[tuple[str, int], int]


@dataclass(slots=True)
class UseBook:
    """The last word of each entry, by its key.

    Explanation
    ===========
    The key is that of ``prober_key``: it names one start of one entry. A
    group is told of once the entry knows that it leaves, also with nothing
    in flight; so a zero is a confirmation, and silence is none.
    """

    clock: Clock
    by_entry: dict[int, NotedUse] = field(default_factory=dict)

    def note(self, use: EntryUse, received_at: float) -> None:
        """Keep what an entry told unless newer word is known."""
        asked_at = received_at - use.age_s
        known = self.by_entry.get(use.entry)
        if known is not None and known.asked_at > asked_at:
            return
        told = {
            (group.group_id, group.generation): group.in_flight
            for group in use.leaving
        }
        self.by_entry[use.entry] = NotedUse(asked_at, told)

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return the requests that all entries told of at a group."""
        return sum(
            noted.in_flight_by_group.get((group_id, generation), 0)
            for noted in self.by_entry.values()
        )

    def confirmed(self, group_id: str, generation: int) -> Sequence[int]:
        """Return the entries that know that a group leaves, by key."""
        return [
            entry
            for entry, noted in self.by_entry.items()
            if (group_id, generation) in noted.in_flight_by_group
        ]

    def asked_since(self, earliest: float) -> Sequence[int]:
        """Return the entries that asked for evidence since a time."""
        return [
            entry
            for entry, noted in self.by_entry.items()
            if noted.asked_at >= earliest
        ]

    def told(self) -> Iterable[EntryUse]:
        """Return all uses as they are passed on; drop the old ones."""
        now = self.clock.monotonic()
        self.by_entry = {
            entry: noted
            for entry, noted in self.by_entry.items()
            if now - noted.asked_at <= USE_KEPT_S
        }
        return [
            EntryUse(entry, now - noted.asked_at, _groups(noted))
            for entry, noted in self.by_entry.items()
        ]

    def dump(self) -> Mapping[str, object]:
        """Return ages and counts for the state dump."""
        now = self.clock.monotonic()
        return {
            format(entry, '016x'): {
                'asked_s_ago': round(now - noted.asked_at, 3),
                'in_flight': [asdict(group) for group in _groups(noted)],
            }
            for entry, noted in self.by_entry.items()
        }


def _groups(noted: NotedUse) -> Sequence[GroupUse]:
    return [
        GroupUse(group_id, generation, count)
        for (group_id, generation), count in noted.in_flight_by_group.items()
    ]
