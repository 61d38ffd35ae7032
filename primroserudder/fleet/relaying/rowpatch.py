"""Differences between two contents of a row.

Explanation
===========
A configuration lists many routes, and a change concerns few of them. A patch
names the fields that changed. In a field that holds a list, entries that the
base has too are named by their places in it, so that a patch stays small
wherever entries were added, changed or removed. Applying a patch keeps the
base's own objects, which lets a reader find out cheaply what is unchanged.
"""

import itertools
from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated

import orjson
from pydantic import BaseModel, ConfigDict, Field

Place = Annotated[int, Field(ge=0)]


class PatchMismatch(ValueError):
    """A patch does not fit the base that it is applied to."""


class ListRun(BaseModel):
    """Entries that follow each other in a list.

    Parameters
    ==========
    start : int
        Place of the first entry in the base's list.
    stop : int
        Place after the last one.
    added : tuple
        Entries that the base lacks, in place of entries of the base.
    """

    model_config = ConfigDict(frozen=True)

    start: Place = 0
    stop: Place = 0
    added: tuple[object, ...] = ()


class RowPatch(BaseModel):
    """What turns one content of a row into another.

    Parameters
    ==========
    base : int
        Revision of the row to which the patch applies.
    assigned : dict
        New values of fields.
    listed : dict
        New lists, by field.
    removed : tuple of str
        Fields that the new content lacks.
    """

    model_config = ConfigDict(frozen=True)

    base: int
    assigned: Mapping[str, object] = {}
    listed: Mapping[str, tuple[ListRun, ...]] = {}
    removed: tuple[str, ...] = ()


Fields = Mapping[str, object]


def make_patch(revision: int, base: Fields, fields: Fields) -> RowPatch:
    """Return the patch that turns a base, which has a revision, into fields.

    Examples
    ========
    >>> patch = make_patch(3, {'a': [1, 2], 'b': 5}, {'a': [1, 7, 2], 'b': 5})
    >>> [(run.start, run.stop, run.added) for run in patch.listed['a']]
    [(0, 1, ()), (0, 0, (7,)), (1, 2, ())]
    """
    assigned: dict[str, object] = {}
    listed: dict[str, tuple[ListRun, ...]] = {}
    for name, new in fields.items():
        old = base.get(name)
        if isinstance(old, list) and isinstance(new, list):
            if not _is_equal(old, new):
                listed[name] = tuple(_runs(old, new))
        elif name not in base or not _is_equal(old, new):
            assigned[name] = new
    removed = tuple(sorted(set(base) - set(fields)))
    return RowPatch(
        base=revision, assigned=assigned, listed=listed, removed=removed
    )


def apply_patch(base: Fields, patch: RowPatch) -> Fields:
    """Return the fields that a patch makes of its base.

    Raises
    ======
    PatchMismatch
        The base lacks a list, or entries of it, that the patch names.
    """
    kept = {
        name: old for name, old in base.items() if name not in patch.removed
    }
    lists = {
        name: list(_joined(base.get(name), runs))
        for name, runs in patch.listed.items()
    }
    return {**kept, **patch.assigned, **lists}


def _is_equal(old: object, new: object) -> bool:
    # 1, 1.0 and True are equal to Python, and different to readers.
    return _encoded(old) == _encoded(new)


def _encoded(entry: object) -> bytes:
    return orjson.dumps(entry)


def _runs(old: Sequence[object], new: Sequence[object]) -> Iterator[ListRun]:
    """Yield the runs that make up a new list, as long as they can be."""
    places = _places(old, new)
    numbered = enumerate(places)
    for key, group in itertools.groupby(numbered, key=_run_key):
        run = list(group)
        first, place = run[0]
        if key is None:
            last = run[-1][0]
            yield ListRun(added=tuple(new[first : last + 1]))
        elif place is not None:
            yield ListRun(start=place, stop=place + len(run))


def _places(
    old: Sequence[object], new: Sequence[object]
) -> Iterator[int | None]:
    """Yield for each new entry its place in the old list, if it has one."""
    place_by_entry = {_encoded(entry): at for at, entry in enumerate(old)}
    for entry in new:
        yield place_by_entry.get(_encoded(entry))


def _run_key(numbered: tuple[int, int | None]) -> int | None:
    """Return what entries that follow each other in both lists share."""
    number, place = numbered
    return None if place is None else place - number


def _joined(base: object, runs: Sequence[ListRun]) -> Iterator[object]:
    if not isinstance(base, list):
        raise PatchMismatch('the base has no such list')
    for run in runs:
        if run.stop > len(base) or run.start > run.stop:
            raise PatchMismatch('the list of the base is too short')
        yield from base[run.start : run.stop]
        yield from run.added
