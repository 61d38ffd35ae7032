"""The requests that entries report in flight at leaving groups."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field

from .clock import Clock
from .digest import EntryUse, GroupUse

USE_KEPT_S = 600


@dataclass(frozen=True, slots=True)
class RecordedUse:
    """An entry's use of leaving groups, and the time of its report."""

    asked_at: float
    in_flight_by_group: Mapping[tuple[str, int], int]


@dataclass(slots=True)
class UseBook:
    """The latest report of each entry, by the entry's key.

    Explanation
    ===========
    The key is that of ``prober_key``: it identifies one start of one entry.
    An entry reports a group once it has learnt that the group is leaving,
    also with nothing in flight. So a zero confirms that the entry has learnt
    of it; a group that isn't reported is not confirmed.
    """

    clock: Clock
    by_entry: dict[int, RecordedUse] = field(default_factory=dict)

    def note(self, use: EntryUse, received_at: float) -> None:
        """Record an entry's report unless a newer one is recorded."""
        asked_at = received_at - use.age_s
        previous = self.by_entry.get(use.entry)
        if previous is not None and previous.asked_at > asked_at:
            return
        in_flight_by_group = {
            (group.group_id, group.generation): group.in_flight
            for group in use.leaving
        }
        self.by_entry[use.entry] = RecordedUse(asked_at, in_flight_by_group)

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return how many requests all entries report at a group."""
        return sum(
            recorded.in_flight_by_group.get((group_id, generation), 0)
            for recorded in self.by_entry.values()
        )

    def confirmed(self, group_id: str, generation: int) -> Sequence[int]:
        """Return the keys of entries that report a group as leaving."""
        return [
            entry
            for entry, recorded in self.by_entry.items()
            if (group_id, generation) in recorded.in_flight_by_group
        ]

    def asked_since(self, earliest: float) -> Sequence[int]:
        """Return the keys of entries that reported at a time or later."""
        return [
            entry
            for entry, recorded in self.by_entry.items()
            if recorded.asked_at >= earliest
        ]

    def current_uses(self) -> Iterable[EntryUse]:
        """Drop old reports and return the others for relaying."""
        now = self.clock.monotonic()
        self.by_entry = {
            entry: recorded
            for entry, recorded in self.by_entry.items()
            if now - recorded.asked_at <= USE_KEPT_S
        }
        return [
            EntryUse(entry, now - recorded.asked_at, _groups(recorded))
            for entry, recorded in self.by_entry.items()
        ]

    def dump(self) -> Mapping[str, object]:
        """Return ages and counts for the state dump."""
        now = self.clock.monotonic()
        return {
            format(entry, '016x'): {
                'asked_s_ago': round(now - recorded.asked_at, 3),
                'in_flight': [asdict(group) for group in _groups(recorded)],
            }
            for entry, recorded in self.by_entry.items()
        }


def _groups(recorded: RecordedUse) -> Sequence[GroupUse]:
    return [
        GroupUse(group_id, generation, count)
        for (group_id, generation), count in recorded.in_flight_by_group.items()
    ]
