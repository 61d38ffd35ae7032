"""Counts the engines that ended while they ran a suspect.

Explanation
===========
A request may crash each engine that runs it and be sent again under another
id, to any VM; or a part of prompts may do so in requests no two alike. Strikes
are therefore counted by suspect: by the digest of a content, and by part.
Each names one incarnation of an engine, so that all VMs can merge them in any
order. A strike is void for good once the suspect completed or the engine
proved to be alive, and does not count while a quarantined suspect explains the
engine's end.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ...process.clock import Clock
from .explaining import (
    STRIKES_TO_QUARANTINE,
    Attribution,
    Incarnation,
    attribute,
)
from .partcounts import PartCounts
from .suspects import is_part

STRIKE_LIFETIME_S = 600.0
# A suspect that completed this recently does not crash engines: those that
# end while they run it have another cause, such as a failure of their rack.
COMPLETION_LIFETIME_S = 10.0
MAX_SUSPECTS = 5000
MAX_COMPLETIONS = 20_000
# A VM that has seen fewer suspects complete can't tell a content that many
# callers send from one that never completes.
MIN_COMPLETIONS_TO_COMPARE = 20
MAX_VOID_STRIKES = 5000
MAX_SHARED_STRIKES = 40


@dataclass(frozen=True, slots=True, order=True)
class Strike:
    """An engine's incarnation that ended while it ran a suspect.

    Parameters
    ==========
    digest : str
        Key of the suspect, a content or a part, see ``Call.suspects``.
    born_ms : int
        Start time of the engine, which tells its incarnations apart.

    Examples
    ========
    >>> Strike('c0ffee', 'i-7', 12).strike_id
    'c0ffee=i-7@12'
    """

    digest: str
    engine_id: str
    born_ms: int

    @property
    def strike_id(self) -> str:
        """Return the id that names the strike to other VMs."""
        return f'{self.digest}={self.engine_id}@{self.born_ms}'

    @property
    def incarnation(self) -> Incarnation:
        """Return the engine's incarnation that ended."""
        return self.engine_id, self.born_ms


def parse_strike(strike_id: str) -> Strike | None:
    """Return the strike with an id, or ``None`` if it is no valid id.

    Examples
    ========
    >>> parse_strike('c0ffee=i-7@12')
    Strike(digest='c0ffee', engine_id='i-7', born_ms=12)
    >>> parse_strike('c0ffee=small.7') is None
    True
    """
    digest, _, incarnation = strike_id.partition('=')
    engine_id, _, born = incarnation.rpartition('@')
    if not (digest and engine_id and born.isdecimal()):
        return None
    return Strike(digest, engine_id, int(born))


@dataclass(slots=True)
class StrikeRecord:
    """What this VM knows of a strike; ``known_at`` is a monotonic time."""

    known_at: float
    is_own: bool
    is_confirmed: bool = False


@dataclass(slots=True)
class StrikeRegistry:
    """The strikes of each suspect, those that are void, and the attribution.

    Examples
    ========
    >>> from ...process.clock import SystemClock
    >>> registry = StrikeRegistry(SystemClock())
    >>> for engine_id in ('i-1', 'i-2', 'i-2', 'i-3'):
    ...     strike = Strike('c0ffee', engine_id, 12)
    ...     print(registry.add(strike), registry.is_quarantined('c0ffee'))
    True False
    True False
    False False
    True True
    """

    clock: Clock
    records_by_digest: OrderedDict[str, dict[Strike, StrikeRecord]] = field(
        default_factory=OrderedDict,
    )
    void_since: OrderedDict[Strike, float] = field(default_factory=OrderedDict)
    _completed_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    part_counts: PartCounts = field(default_factory=PartCounts)
    _often_struck: set[str] = field(default_factory=set)
    _attribution: Attribution | None = None
    _shared: tuple[str, ...] | None = None

    @property
    def attribution(self) -> Attribution:
        """Return what explains the crashes, anew if strikes changed."""
        if self._attribution is None:
            completions = len(self._completed_at)
            is_experienced = completions >= MIN_COMPLETIONS_TO_COMPARE
            self._attribution = attribute(
                {
                    key: frozenset(
                        strike.incarnation
                        for strike in self.records_by_digest[key]
                    )
                    for key in self._often_struck
                    if not self.part_counts.is_common(key)
                },
                self.part_counts.rarity,
                self._completed_at if is_experienced else None,
            )
        return self._attribution

    def is_quarantined(self, digest: str) -> bool:
        """Return whether requests with a suspect must not run again."""
        return digest in self.attribution.crashes_by_cause

    def count(self, digest: str) -> int:
        """Return the number of strikes of a suspect."""
        return len(self.records_by_digest.get(digest, ()))

    def weight(self, digest: str) -> int:
        """Return the number of strikes that no other suspect explains."""
        records = self.records_by_digest.get(digest, {})
        if self.is_quarantined(digest):
            return len(records)
        explained = self.attribution.explained
        return sum(strike.incarnation not in explained for strike in records)

    def records(self) -> Iterator[tuple[Strike, StrikeRecord]]:
        """Yield all strikes."""
        for records in self.records_by_digest.values():
            yield from records.items()

    def add(
        self, strike: Strike, *, age_s: float = 0, is_own: bool = False
    ) -> bool:
        """Count a strike; return whether it is new and counts."""
        records = self.records_by_digest.get(strike.digest, {})
        if strike in self.void_since or strike in records:
            return False
        if age_s >= STRIKE_LIFETIME_S:
            return False
        now = self.clock.monotonic()
        completed_at = self._completed_at.get(strike.digest, float('-inf'))
        if now - completed_at < COMPLETION_LIFETIME_S:
            self._note_void(strike)
            return False
        records[strike] = StrikeRecord(now - age_s, is_own)
        self.records_by_digest[strike.digest] = records
        self.records_by_digest.move_to_end(strike.digest)
        self._note_change(strike.digest)
        self._limit_size()
        return True

    def void(self, strike: Strike) -> None:
        """Make a strike void, known or not; it never counts again."""
        self._note_void(strike)
        records = self.records_by_digest.get(strike.digest, {})
        records.pop(strike, None)
        if not records:
            self.records_by_digest.pop(strike.digest, None)
        self._note_change(strike.digest)

    def complete(self, digest: str) -> bool:
        """Record that a suspect completed; return whether it had strikes."""
        self._completed_at[digest] = self.clock.monotonic()
        self._completed_at.move_to_end(digest)
        if len(self._completed_at) > MAX_COMPLETIONS:
            self._completed_at.popitem(last=False)
        strikes = tuple(self.records_by_digest.get(digest, ()))
        for strike in strikes:
            self.void(strike)
        return bool(strikes)

    def merge(
        self, strike_ids: Iterable[str], void_ids: Iterable[str] = ()
    ) -> list[str]:
        """Merge what another VM reported; return the ids of new strikes."""
        for void_strike in _parse_all(void_ids):
            if void_strike not in self.void_since:
                self.void(void_strike)
        strikes = tuple(_parse_all(strike_ids))
        for known_void in self.void_since.keys() & strikes:
            # The other VM does not know it, so it is told first again.
            self.void_since.move_to_end(known_void)
        return [strike.strike_id for strike in strikes if self.add(strike)]

    def shared(self) -> tuple[str, ...]:
        """Return the ids of the strikes to report to the other VMs.

        Explanation
        ===========
        Suspects with more unexplained strikes come first, and parts before
        contents: after the loss of many engines most contents have a single
        one.
        """
        if self._shared is None:
            most_struck = sorted(
                reversed(self.records_by_digest),
                key=lambda key: (self.weight(key), is_part(key)),
                reverse=True,
            )[:MAX_SHARED_STRIKES]
            self._shared = tuple(
                strike.strike_id
                for key in most_struck
                for strike in self.records_by_digest[key]
            )[:MAX_SHARED_STRIKES]
        return self._shared

    def shared_void(self) -> tuple[str, ...]:
        """Return the ids of the latest void strikes, for the other VMs."""
        latest = itertools.islice(reversed(self.void_since), MAX_SHARED_STRIKES)
        return tuple(strike.strike_id for strike in latest)

    def drop_expired(self) -> None:
        """Drop the strikes that are older than their lifetime.

        Explanation
        ===========
        All strikes of an incarnation lapse together, so that none outlives
        the one that explains it.
        """
        oldest = self.clock.monotonic() - STRIKE_LIFETIME_S
        lapsed = {
            strike.incarnation
            for strike, record in self.records()
            if record.known_at <= oldest
        }
        if not lapsed:
            return
        expired = [
            strike
            for strike, _ in self.records()
            if strike.incarnation in lapsed
        ]
        for strike in expired:
            self.void(strike)

    def _note_change(self, digest: str) -> None:
        """Forget what follows from strikes, of which some changed."""
        self._shared = None
        if self.count(digest) >= STRIKES_TO_QUARANTINE:
            self._often_struck.add(digest)
            self._attribution = None
        elif digest in self._often_struck:
            self._often_struck.discard(digest)
            self._attribution = None

    def _note_void(self, strike: Strike) -> None:
        self.void_since[strike] = self.clock.monotonic()
        if len(self.void_since) > MAX_VOID_STRIKES:
            self.void_since.popitem(last=False)

    def _limit_size(self) -> None:
        """Drop the oldest content with one strike if there are too many."""
        if len(self.records_by_digest) <= MAX_SUSPECTS:
            return
        oldest = next(iter(self.records_by_digest))
        single = (
            digest
            for digest, records in self.records_by_digest.items()
            if len(records) == 1
        )
        dropped = next(single, oldest)
        self.records_by_digest.pop(dropped)
        self._note_change(dropped)


def _parse_all(strike_ids: Iterable[str]) -> Iterator[Strike]:
    parsed = map(parse_strike, strike_ids)
    return (strike for strike in parsed if strike is not None)
