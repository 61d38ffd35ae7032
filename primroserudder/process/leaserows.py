"""The rows of a lease: its claim, and the tenures of its holders."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .clock import Clock
from .platform import Row, Write

TENURES_PREFIX = 'tenures/'
# More tenures than can begin in the seconds that a platform loses each time it
# comes back from a copy.
MAX_LOST_TENURES = 100
# A transaction has room for so many removals.
MAX_ENDED_TENURES = 50


def tenure_key(failure_domain: str, fencing: int | str) -> str:
    """Return the key of a tenure's row; no other tenure ever has it."""
    return f'{TENURES_PREFIX}{failure_domain}.{fencing}'


def fencing_of(row: Row | None) -> int:
    """Return the fencing token in a lease's row, zero if there is none."""
    return 0 if row is None else int(str(row.fields['fencing']))


def era_of(row: Row) -> int:
    """Return in which era a row was written, zero if it does not say so."""
    return int(str(row.fields.get('era', 0)))


def next_fencing(row: Row | None, era: int) -> int:
    """Return a fencing token that was never given out before.

    Explanation
    ===========
    Tokens of each era after that of the row may be lost.

    Examples
    ========
    >>> next_fencing(None, era=0), next_fencing(None, era=2)
    (1, 201)
    >>> next_fencing(Row('leases/a', 9, {'fencing': 7, 'era': 1}), era=2)
    108
    >>> next_fencing(Row('leases/a', 9, {'fencing': 7, 'era': 0}), era=2)
    208
    """
    if row is None:
        return era * MAX_LOST_TENURES + 1
    lost_eras = era - era_of(row)
    return fencing_of(row) + lost_eras * MAX_LOST_TENURES + 1


def is_held_by(row: Row | None, holder: str) -> bool:
    """Return whether a lease's row names a holder."""
    return row is not None and row.fields['holder'] == holder


def is_of_tenure(row: Row | None, holder: str, fencing: int, era: int) -> bool:
    """Return whether a lease's row is the one that a tenure's holder wrote."""
    if row is None or not is_held_by(row, holder):
        return False
    return (fencing_of(row), era_of(row)) == (fencing, era)


def stored_tokens(failure_domain: str, rows: Iterable[Row]) -> list[int]:
    """Return the fencing tokens that the rows of tenures name, in order.

    Examples
    ========
    >>> keys = ('tenures/a', 'tenures/a.103', 'tenures/a.3', 'tenures/b.7')
    >>> stored_tokens('a', [Row(key, 1, {}) for key in keys])
    [3, 103]
    """
    prefix = tenure_key(failure_domain, '')
    tokens = (
        row.key.removeprefix(prefix)
        for row in rows
        if row.key.startswith(prefix)
    )
    return sorted(int(token) for token in tokens if token.isdecimal())


def tenure_writes(
    failure_domain: str,
    ended_tokens: Iterable[int],
    fields: Mapping[str, object],
) -> list[Write]:
    """Return the writes that begin a tenure and end those before it."""
    fencing = int(str(fields['fencing']))
    ended = sorted(set(ended_tokens))[:MAX_ENDED_TENURES]
    return [
        Write(tenure_key(failure_domain, fencing), fields),
        # Holders of version 0.1.0 make their transactions conditional on it.
        Write(TENURES_PREFIX + failure_domain, fields),
        *(Write(tenure_key(failure_domain, token), None) for token in ended),
    ]


@dataclass(slots=True)
class EraWatch:
    """Notes when the platform came back from a copy.

    Parameters
    ==========
    restored_at : float
        Monotonic time in seconds at which this process saw the last change of
        the era, negative infinity if it saw none.
    """

    clock: Clock
    era: int | None = None
    restored_at: float = float('-inf')

    def note(self, era: int) -> None:
        """Record the era of an answer."""
        if self.era not in {None, era}:
            self.restored_at = self.clock.monotonic()
        self.era = era

    def is_outdated(self, row: Row | None, era: int) -> bool:
        """Return whether later claims than the one in a row may be lost.

        Explanation
        ===========
        A lease without a row was never claimed, unless this process saw a
        change of the era.
        """
        if row is None:
            return self.restored_at > float('-inf')
        return era_of(row) < era
