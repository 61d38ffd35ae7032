"""What a neighbour sent last, and what was sent to it."""

import itertools
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from .in_flight import InFlightCounts, add_counts
from .notice import Facts, LimitNews, LoadPart, Notice, Strikes

UNCHANGED_RESEND_INTERVAL_S = 0.3
# A lease claim that is fresher by this much is sent on before that.
CLAIM_FRESHNESS_MS = 120
MS_PER_S = 1000
KEYS_PER_PART = 100
MAX_STRIKES = 6
NO_LOAD = LoadPart(vms=0)
Entry = TypeVar('Entry')


@dataclass(slots=True)
class Outbox:
    """What was sent to a neighbour last, and when."""

    sent_at: float = float('-inf')
    _loads_sent_at: float = float('-inf')
    _facts: Facts | None = None
    _loads_by_part: dict[int, LoadPart] = field(default_factory=dict)
    _struck: set[str] = field(default_factory=set)
    _void: set[str] = field(default_factory=set)
    _turns: 'itertools.count[int]' = field(default_factory=itertools.count)

    def due_parts(
        self, parts: Sequence[LoadPart], facts: Facts, now: float
    ) -> Sequence[LoadPart]:
        """Return the parts to send now: the changed ones, or all in turn."""
        changed = [
            part
            for part in parts
            if self._loads_by_part.get(part.number) != part
        ]
        if changed:
            return changed
        if now - self._loads_sent_at >= UNCHANGED_RESEND_INTERVAL_S:
            return parts
        return parts[:1] if self._has_news(facts, now) else ()

    def next_strikes(self, known: Strikes) -> Strikes:
        """Return some strikes for the next notice, unsent ones first."""
        self._struck.intersection_update(known.struck)
        self._void.intersection_update(known.void)
        return Strikes(
            self._pick(known.struck, self._struck),
            self._pick(known.void, self._void),
        )

    def has_unsent(self, known: Strikes) -> bool:
        """Return whether there are strikes that were never sent."""
        has_struck = not self._struck.issuperset(known.struck)
        return has_struck or not self._void.issuperset(known.void)

    @property
    def remembered_strikes(self) -> int:
        """Return how many strikes are known to have been sent."""
        return len(self._struck) + len(self._void)

    def is_overdue(self, now: float) -> bool:
        """Return whether the neighbour must hear of this VM again."""
        return now - self.sent_at >= UNCHANGED_RESEND_INTERVAL_S

    def record_sent(
        self, facts: Facts, load: LoadPart | None, strikes: Strikes, now: float
    ) -> None:
        """Record that a notice was sent."""
        self.sent_at = now
        self._facts = facts
        self._struck.update(strikes.struck)
        self._void.update(strikes.void)
        if load is not None:
            self._loads_sent_at = now
            self._loads_by_part[load.number] = load

    def _has_news(self, facts: Facts, now: float) -> bool:
        sent = self._facts
        if sent is None or not facts.equals_except_age(sent):
            return True
        if not facts.lease_claim:
            return False
        age_ms = sent.claim_age_ms + (now - self.sent_at) * MS_PER_S
        return facts.claim_age_ms < age_ms - CLAIM_FRESHNESS_MS

    def _pick(self, ids: Sequence[str], sent: set[str]) -> tuple[str, ...]:
        unsent = [strike for strike in ids if strike not in sent]
        if unsent or len(ids) <= MAX_STRIKES:
            return tuple((unsent or ids)[:MAX_STRIKES])
        first = next(self._turns) * MAX_STRIKES
        places = range(first, first + MAX_STRIKES)
        return tuple(ids[place % len(ids)] for place in places)


@dataclass(slots=True)
class Link:
    """The state of one neighbour of this VM in the tree of routers."""

    address: str
    counts: InFlightCounts
    facts: Facts = Facts()
    received_at: float = 0
    version: int = 0
    outbox: Outbox = field(default_factory=Outbox)
    _last: tuple[int, int] = (0, 0)
    _load_by_part: dict[int, LoadPart] = field(default_factory=dict)
    _parts: int = 1

    def receive(self, notice: Notice, now: float) -> bool:
        """Take over a notice; return whether it is newer than the last."""
        stamp = notice.incarnation, notice.sequence
        if stamp <= self._last:
            return False
        self._last = stamp
        self.received_at = now
        self.facts = notice.facts
        self.version = notice.version
        if notice.load is not None:
            self._receive_load(notice.load)
        return True

    def aged_facts(self, now: float) -> Facts:
        """Return the facts with the lease claim's age as of now."""
        if not self.facts.lease_claim:
            return self.facts
        facts = self.facts
        elapsed_ms = int((now - self.received_at) * MS_PER_S)
        return Facts(
            facts.lease_claim,
            facts.claim_age_ms + elapsed_ms,
            facts.lease_given_up,
            facts.reaches_store,
            facts.has_traffic,
            facts.store_era,
            facts.versions,
            facts.silent_heads,
            facts.broken_groups,
        )

    def loads(self) -> Collection[LoadPart]:
        """Return the parts of the load that the neighbour reported."""
        return self._load_by_part.values()

    def drop(self) -> None:
        """Take what the neighbour reported out of the sums."""
        for load in self._load_by_part.values():
            self.counts.replace(load, NO_LOAD)
        self._load_by_part = {}

    def _receive_load(self, load: LoadPart) -> None:
        if load.total != self._parts:
            self.drop()
            self._parts = load.total
        before = self._load_by_part.get(load.number, NO_LOAD)
        self.counts.replace(before, load)
        self._load_by_part[load.number] = load


@dataclass(slots=True)
class Load:
    """Requests on one side of a link; the same keys as in a part."""

    running: dict[int, int]
    waiting: dict[int, int]
    sent: dict[int, int]
    looks: dict[int, int]
    limits: Mapping[int, LimitNews]
    vms: int = 1
    cold: dict[int, int] = field(default_factory=dict)
    reading: dict[int, int] = field(default_factory=dict)
    held: dict[int, int] = field(default_factory=dict)

    def add(self, link: Link, sign: int = 1) -> None:
        """Add what a neighbour reported, or take it away."""
        for part in link.loads():
            add_counts(self.running, part.running, sign)
            add_counts(self.waiting, part.waiting, sign)
            add_counts(self.sent, part.sent, sign)
            add_counts(self.looks, part.looks, sign)
            add_counts(self.cold, part.cold, sign)
            add_counts(self.reading, part.reading, sign)
            add_counts(self.held, part.held, sign)
            self.vms += sign * part.vms

    def parts(self) -> list[LoadPart]:
        """Return the load in parts that each fit a notice.

        Examples
        ========
        >>> [part.total for part in Load({1: 2}, {}, {}, {}, {}).parts()]
        [1]
        >>> parts = Load(dict.fromkeys(range(150), 1), {}, {}, {}, {}).parts()
        >>> [(part.number, len(part.running), part.vms) for part in parts]
        [(0, 75, 1), (1, 75, 0)]
        """
        total = 1
        by_key = (
            self.running,
            self.sent,
            self.looks,
            self.limits,
            self.cold,
            self.reading,
            self.held,
        )
        size = sum(map(len, by_key))
        while total * KEYS_PER_PART < size:
            total *= 2
        return [
            LoadPart(
                number,
                total,
                _keys_of_part(self.running, number, total),
                {} if number else self.waiting,
                _keys_of_part(self.sent, number, total),
                _keys_of_part(self.looks, number, total),
                _keys_of_part(self.limits, number, total),
                0 if number else self.vms,
                _keys_of_part(self.cold, number, total),
                _keys_of_part(self.reading, number, total),
                _keys_of_part(self.held, number, total),
            )
            for number in range(total)
        ]


def _keys_of_part(
    by_key: Mapping[int, Entry], number: int, total: int
) -> dict[int, Entry]:
    if total == 1:
        return dict(by_key)
    return {
        key: entry for key, entry in by_key.items() if key % total == number
    }
