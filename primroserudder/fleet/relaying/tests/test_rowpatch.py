"""A patch makes the new content of a row, whatever changed."""

import random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ....testing.largeversions import large_configuration
from ..rowpatch import PatchMismatch, RowPatch, apply_patch, make_patch

ROUTES = 1120
_scalars = st.none() | st.booleans() | st.integers(-3, 3) | st.text(max_size=2)
_entries = st.lists(
    st.dictionaries(st.text(max_size=1), _scalars, max_size=2) | _scalars,
    max_size=12,
)
_fields = st.dictionaries(
    st.sampled_from('abcd'), _entries | _scalars, max_size=4
)


def _sent(patch: RowPatch) -> RowPatch:
    """Return a patch as another router reads it."""
    return RowPatch.model_validate_json(orjson.dumps(patch.model_dump()))


def _sorted(fields: object) -> bytes:
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)


@given(_fields, _fields)
def test_patch_makes_the_new_content(
    base: dict[str, object], fields: dict[str, object]
) -> None:
    patched = apply_patch(base, _sent(make_patch(1, base, fields)))
    assert _sorted(patched) == _sorted(fields)


@given(_entries, st.randoms(use_true_random=False))
def test_reordered_list_is_patched(
    entries: list[object],
    rng: random.Random,
) -> None:
    shuffled = rng.sample(entries, len(entries))
    patch = make_patch(1, {'a': entries}, {'a': shuffled})
    assert _sorted(apply_patch({'a': entries}, _sent(patch))) == _sorted(
        {'a': shuffled}
    )


def test_change_of_one_route_of_many_is_small() -> None:
    base = large_configuration(1, ROUTES)
    fields = orjson.loads(orjson.dumps(base))
    fields['Version'] = 2
    fields['Routes'][600]['TimeoutMs'] = 5
    patch = make_patch(1, base, fields)
    assert len(orjson.dumps(patch.model_dump())) < 1000
    patched = apply_patch(base, patch)
    assert _sorted(patched) == _sorted(fields)
    # A reader finds out by identity what is unchanged.
    assert patched['Routes'][601] is base['Routes'][601]  # type: ignore[index]


@pytest.mark.parametrize('base', [{}, {'a': [1]}, {'a': 'text'}])
def test_patch_of_another_base_is_refused(base: dict[str, object]) -> None:
    patch = make_patch(1, {'a': [1, 2]}, {'a': [1, 2, 3]})
    with pytest.raises(PatchMismatch):
        apply_patch(base, patch)
