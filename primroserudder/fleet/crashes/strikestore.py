"""Keeps strikes in the store, for VMs that start or hear no notices.

Explanation
===========
VMs keep nothing when they end, and notices do not reach all of them. The
strikes of a suspect that has at least two, which no other suspect explains,
are therefore rows of the store as well, which all routers follow. A row is
written by the VM that saw the crash, or else by another VM that knows of it;
its key is the strike's id, so that writing it again is harmless. A strike that
is void has no row.
"""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ...errors import RudderError
from ...platform import MAX_ENTRIES, is_storable
from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.platform import PlatformClient, Row, Transaction, Write
from ...process.tables import TableFollower
from .strikes import Strike, StrikeRecord, StrikeRegistry, parse_strike

STRIKES_TABLE = 'strikes'
STRIKES_PREFIX = f'{STRIKES_TABLE}/'
# Contents with a single strike are many after the loss of a fabric domain.
MIN_STRIKES_TO_KEEP = 2
CHECK_INTERVAL_S = 0.25
# Each further VM of a failure domain waits this much longer before it writes
# a strike that another VM has seen.
RANK_DELAY_S = 1.0
# The table shows a row within this time after it was written.
WRITE_RETRY_S = 2.0


@dataclass(slots=True)
class StrikeStore:
    """Writes the rows of strikes and merges those of other VMs.

    Parameters
    ==========
    rank : Callable
        Returns how many live VMs of this failure domain precede this one.
    store_now_s : Callable
        Returns the store's monotonic time in seconds, as of its last answer.
    """

    platform: PlatformClient
    table: TableFollower
    strikes: StrikeRegistry
    clock: Clock
    log: DecisionLog
    rank: Callable[[], int]
    store_now_s: Callable[[], float | None]
    _written_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Subscribe to changes of the table."""
        self.table.listeners.append(self._merge_rows)

    async def run(self) -> None:
        """Write missing rows and remove void ones until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            writes = [*self._missing(), *self._outdated()][:MAX_ENTRIES]
            if writes and self.table.is_reachable:
                await self._commit(writes)

    async def _commit(self, writes: list[Write]) -> None:
        now = self.clock.monotonic()
        self._written_at = {
            key: at
            for key, at in self._written_at.items()
            if now - at < WRITE_RETRY_S
        }
        self._written_at.update((write.key, now) for write in writes)
        try:
            await self.platform.commit(Transaction((), writes))
        except RudderError as error:
            # The next check after WRITE_RETRY_S writes again what is missing.
            self.log.note('strikes_not_written', reason=str(error))

    def _missing(self) -> Iterator[Write]:
        """Yield the rows of known strikes that the table lacks."""
        for digest, records in self.strikes.records_by_digest.items():
            if not self._is_kept(digest):
                continue
            for strike, record in records.items():
                key = STRIKES_PREFIX + strike.strike_id
                write = Write(key, {'struck_s': self._struck_s(record)})
                # The store refuses a call with a key that is too long.
                if self._is_missing(key, record) and is_storable(write):
                    yield write

    def _is_kept(self, digest: str) -> bool:
        if self.strikes.count(digest) < MIN_STRIKES_TO_KEEP:
            return False
        return self.strikes.weight(digest) >= MIN_STRIKES_TO_KEEP

    def _is_missing(self, key: str, record: StrikeRecord) -> bool:
        if self.table.rows.is_stored(key):
            return False
        delay_s = 0 if record.is_own else self._delay_s()
        return self._is_due(key, record.known_at + delay_s)

    def _outdated(self) -> Iterator[Write]:
        """Yield the removals of rows whose strikes are void."""
        for key in self.table.rows_by_key:
            strike = _strike_of(key)
            if strike is None or strike not in self.strikes.void_since:
                continue
            void_since = self.strikes.void_since[strike]
            if self._is_due(key, void_since + self._delay_s()):
                yield Write(key, None)

    def _is_due(self, key: str, due_at: float) -> bool:
        now = self.clock.monotonic()
        written_at = self._written_at.get(key, float('-inf'))
        return now >= due_at and now - written_at >= WRITE_RETRY_S

    def _delay_s(self) -> float:
        return RANK_DELAY_S * (1 + self.rank())

    def _struck_s(self, record: StrikeRecord) -> float | None:
        """Return when a strike became known, in the store's time."""
        store_now_s = self.store_now_s()
        if store_now_s is None:
            return None
        return store_now_s - (self.clock.monotonic() - record.known_at)

    def _merge_rows(self) -> None:
        for key, row in self.table.rows_by_key.items():
            strike = _strike_of(key)
            if strike is None:
                continue
            if self.strikes.add(strike, age_s=self._age_s(row)):
                self.log.note(
                    'strikes_merged',
                    source='store',
                    strikes=[strike.strike_id],
                )

    def _age_s(self, row: Row) -> float:
        struck_s = row.fields.get('struck_s')
        store_now_s = self.store_now_s()
        if store_now_s is None or not isinstance(struck_s, int | float):
            return 0
        return max(store_now_s - struck_s, 0)


def _strike_of(key: str) -> Strike | None:
    return parse_strike(key.removeprefix(STRIKES_PREFIX))
