"""The last contents of large rows, from which patches are made."""

import itertools
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from ...process.followedrows import KEPT_ROW_REVISION
from ...process.platform import Row
from ...process.tablepages import ChangePage, TablePage
from .messages import HeldRows, RowMessage, TableMessage
from .rowpatch import PatchMismatch, RowPatch, apply_patch, make_patch

# Rows with a list of so many entries are patched.
LARGE_LIST_ENTRIES = 32
# So many contents of a row are kept; a VM further behind gets the whole row.
KEPT_CONTENTS = 4


@dataclass(slots=True)
class RowHistory:
    """Keeps the last contents of large rows by key and revision.

    Explanation
    ===========
    A revision names one content of a row within an era of the store. Contents
    share the entries of their lists that are equal, so that several take
    little more memory than one, and that equal entries are the same objects.
    """

    era: int = 0
    _rows_by_key: dict[str, dict[int, Row]] = field(default_factory=dict)
    _patches: dict[tuple[str, int, int], RowPatch] = field(default_factory=dict)

    def keep(self, era: int, row: Row) -> Row:
        """Keep a row if it is large; return it with shared entries."""
        if row.revision <= KEPT_ROW_REVISION or not _is_large(row.fields):
            return row
        if era != self.era:
            self._begin_era(era)
        by_revision = self._rows_by_key.setdefault(row.key, {})
        if row.revision not in by_revision:
            by_revision[row.revision] = self._shared(by_revision, row)
            self._forget_old(row.key)
        return by_revision.get(row.revision, row)

    def keep_table(self, page: TablePage) -> TablePage:
        """Keep the large rows of a table that the store returned."""
        rows = tuple(self.keep(page.era, row) for row in page.rows)
        return replace(page, rows=rows)

    def keep_changes(self, page: ChangePage) -> ChangePage:
        """Keep the large rows of changes that the store returned."""
        changes = tuple(
            change
            if change.row is None
            else replace(change, row=self.keep(page.era, change.row))
            for change in page.changes
        )
        return replace(page, changes=changes)

    def held(self, table: str) -> HeldRows:
        """Return the revisions of the rows of a table that are kept."""
        revisions = itertools.chain.from_iterable(
            by_revision
            for key, by_revision in self._rows_by_key.items()
            if key.startswith(f'{table}/')
        )
        return HeldRows(self.era, tuple(sorted(revisions)))

    def rows(self, message: TableMessage) -> tuple[Row, ...]:
        """Return the rows of a message, with their patches applied.

        Raises
        ======
        PatchMismatch
            The base of a patch is not kept, or does not fit.
        """
        return tuple(
            self.keep(message.era, self._whole(message.era, row))
            for row in message.rows
        )

    def patch(self, era: int, row: Row, held: HeldRows) -> RowPatch | None:
        """Return a patch of a row for one who holds some contents, if any."""
        kept = self._rows_by_key.get(row.key, {})
        if era != self.era or held.era != era or row.revision not in kept:
            return None
        bases = kept.keys() & set(held.revisions)
        if not bases:
            return None
        return self._patch(kept[max(bases)], kept[row.revision])

    def _whole(self, era: int, message: RowMessage) -> Row:
        if message.patch is None:
            return message.row()
        patch = message.patch
        kept = self._rows_by_key.get(message.key, {})
        base = kept.get(patch.base) if era == self.era else None
        if base is None:
            raise PatchMismatch('the base of a patch is not known')
        # Others that hold this base get the same patch from this VM.
        place = (message.key, patch.base, message.revision)
        self._patches[place] = patch
        fields = apply_patch(base.fields, patch)
        return Row(message.key, message.revision, fields)

    def _shared(self, by_revision: Mapping[int, Row], row: Row) -> Row:
        if not by_revision:
            return row
        base = by_revision[max(by_revision)]
        fields = apply_patch(base.fields, self._patch(base, row))
        return Row(row.key, row.revision, fields)

    def _patch(self, base: Row, row: Row) -> RowPatch:
        place = (row.key, base.revision, row.revision)
        patch = self._patches.get(place)
        if patch is None:
            patch = make_patch(base.revision, base.fields, row.fields)
            self._patches[place] = patch
        return patch

    def _forget_old(self, key: str) -> None:
        by_revision = self._rows_by_key[key]
        for revision in sorted(by_revision)[:-KEPT_CONTENTS]:
            by_revision.pop(revision)
        self._patches = {
            place: patch
            for place, patch in self._patches.items()
            if place[0] != key or _are_kept(place[1:], by_revision)
        }

    def _begin_era(self, era: int) -> None:
        self.era = era
        self._rows_by_key.clear()
        self._patches.clear()


def _are_kept(revisions: Iterable[int], kept: Collection[int]) -> bool:
    return all(revision in kept for revision in revisions)


def _is_large(fields: Mapping[str, object]) -> bool:
    return any(
        isinstance(entries, list) and len(entries) >= LARGE_LIST_ENTRIES
        for entries in fields.values()
    )
