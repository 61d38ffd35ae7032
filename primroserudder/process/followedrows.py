"""The rows of a followed table, through outages and restores of its store.

Explanation
===========
A store may come back from a copy that is some seconds old. Its era then rises
by one, and its revisions are given out again, so that they compare only within
an era. Writers that live write their rows again soon. Until then rows known
from before stay, removed rows do not return, and an older content does not
replace a newer one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from .clock import Clock
from .platform import Row
from .tablepages import ChangePage, StoreVersion, TablePage

# Living writers have written their rows again this long after the store is
# back.
RETURN_GRACE_S = 2.2
# A row of a writer that has ended lapses this long after a restore.
WITHHOLDING_S = 4.0
MIN_WAIT_S = 0.05
# Less than any revision of a store's own row, so that a kept row is never
# taken for the newest one.
KEPT_ROW_REVISION = 1

# Orders the contents of one row, for writers that number them in the row.
RowAge = Callable[[Row], tuple[int, ...]]


@dataclass(slots=True)
class FollowedRows:
    """The rows of a table by key, as of ``version``.

    Parameters
    ==========
    age : Callable or None
        Returns a higher value for a newer content of a row; ``None`` if a
        content does not tell its age.
    kept_s : float
        How long rows that a restored store lacks are kept, in seconds.
    withheld_s : float
        How long rows that were removed, and that a restored store has again,
        are withheld, in seconds.
    """

    clock: Clock
    age: RowAge | None = None
    kept_s: float = RETURN_GRACE_S
    withheld_s: float = WITHHOLDING_S
    by_key: dict[str, Row] = field(default_factory=dict)
    version: StoreVersion = StoreVersion(0, 0)
    is_loaded: bool = False
    _newest: int | None = None
    _newest_removal: int = 0
    _removed_at_by_key: dict[str, int] = field(default_factory=dict)
    _grace_until: float = 0
    _lapsed_keys: set[str] = field(default_factory=set)
    _withheld_until: float = 0
    _withheld_by_key: dict[str, Row] = field(default_factory=dict)

    def is_stored(self, key: str) -> bool:
        """Return whether the store has a row, as far as known."""
        return key in self.by_key and key not in self._lapsed_keys

    def newest(self) -> int:
        """Return the revision of the newest row, zero if there is none."""
        if self._newest is None:
            self._newest = max(
                (row.revision for row in self.by_key.values()), default=0
            )
        return self._newest

    def removed_since(self, revision: int) -> list[str]:
        """Return the keys of rows that were removed after a revision."""
        return [
            key
            for key, at in self._removed_at_by_key.items()
            if at > revision and key not in self.by_key
        ]

    def is_unchanged(self, since: StoreVersion) -> bool:
        """Return whether there is no change after a version."""
        if since.era != self.version.era:
            return False
        if since.revision >= self.version.revision:
            return True
        newest_change = max(self.newest(), self._newest_removal)
        return newest_change <= since.revision

    def begin_grace(self) -> None:
        """Keep the rows that lapsed in an outage until they may be back."""
        self._grace_until = self.clock.monotonic() + RETURN_GRACE_S

    def replace(self, page: TablePage) -> bool:
        """Take over a whole table; return whether a row changed."""
        before = dict(self.by_key)
        self._newest = None
        if self.is_loaded and page.era != self.version.era:
            self._restore(page)
        else:
            self._load(page)
        is_first = not self.is_loaded
        self.is_loaded = True
        return is_first or before != self.by_key

    def apply(self, page: ChangePage) -> bool:
        """Apply changes; return whether no change was missed."""
        if page.changes:
            self._newest = None
        for change in page.changes:
            self._withheld_by_key.pop(change.key, None)
            if change.row is None:
                self._remove(change.key)
            else:
                self._lapsed_keys.discard(change.key)
                self.by_key[change.key] = change.row
        self._advance(page.version)
        return page.count in {None, len(self.by_key)}

    def wait_s(self, longest_s: float) -> float:
        """Return how long to wait for changes, in seconds."""
        deadlines = [longest_s + self.clock.monotonic()]
        if self._lapsed_keys:
            deadlines.append(self._grace_until)
        if self._withheld_by_key:
            deadlines.append(self._withheld_until)
        return max(min(deadlines) - self.clock.monotonic(), MIN_WAIT_S)

    def settle(self) -> bool:
        """Drop lapsed rows and show withheld ones; return whether any."""
        now = self.clock.monotonic()
        has_changed = False
        self._newest = None
        if self._lapsed_keys and now >= self._grace_until:
            self._drop_lapsed()
            has_changed = True
        if self._withheld_by_key and now >= self._withheld_until:
            self.by_key.update(self._withheld_by_key)
            self._withheld_by_key.clear()
            has_changed = True
        return has_changed

    def _drop_lapsed(self) -> None:
        for key in self._lapsed_keys:
            self.by_key.pop(key, None)
            self._note_removed(key)
        self._lapsed_keys.clear()

    def _load(self, page: TablePage) -> None:
        fresh = {row.key: row for row in page.rows}
        missing = set(self.by_key) - set(fresh)
        self.by_key.update(fresh)
        for key in missing:
            self._remove(key)
        self._lapsed_keys -= set(fresh)
        self._advance(page.version)

    def _restore(self, page: TablePage) -> None:
        """Take over a copy, without believing what it shows as older."""
        now = self.clock.monotonic()
        self._grace_until = now + self.kept_s
        self._withheld_until = now + self.withheld_s
        removed = set(self._removed_at_by_key) - set(self.by_key)
        self._removed_at_by_key.clear()
        self._newest_removal = 0
        self.version = page.version
        kept = {
            key: Row(key, KEPT_ROW_REVISION, row.fields)
            for key, row in self.by_key.items()
        }
        self._withheld_by_key = {
            row.key: row for row in page.rows if row.key in removed
        }
        fresh = {row.key: row for row in page.rows if row.key not in removed}
        self.by_key = {
            **kept,
            **{
                key: _newer(self.age, kept.get(key, row), row)
                for key, row in fresh.items()
            },
        }
        self._lapsed_keys = set(kept) - set(fresh)

    def _advance(self, version: StoreVersion) -> None:
        # A relay may be behind in the revisions of other tables.
        if self.is_loaded:
            self.version = max(self.version, version)
        else:
            self.version = version

    def _remove(self, key: str) -> None:
        if self.clock.monotonic() < self._grace_until:
            self._lapsed_keys.add(key)
        elif self.by_key.pop(key, None) is not None:
            self._note_removed(key)

    def _note_removed(self, key: str) -> None:
        self._newest_removal = self.version.revision + 1
        self._removed_at_by_key[key] = self._newest_removal


def _newer(age: RowAge | None, known: Row, restored: Row) -> Row:
    if age is None or age(restored) > age(known):
        return restored
    return known
