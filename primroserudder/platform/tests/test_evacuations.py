"""Rows that evacuate failure domains are told from all others."""

import pytest

from ...process.platform import Row
from ..evacuations import MAX_DOMAIN_CHARS, decode_evacuations


def _decoded(*keys: str) -> tuple[dict[str, int], frozenset[str]]:
    rows = {key: Row(key, 7, {'odd': 1}) for key in keys}
    decoded = decode_evacuations(rows)
    return dict(decoded.revision_by_domain), decoded.malformed_keys


def test_key_names_the_domain_whatever_the_value_is() -> None:
    assert _decoded('op/config', 'op/evacuate/muc-nord') == (
        {'muc-nord': 7},
        frozenset(),
    )


def test_name_with_a_slash_is_a_name() -> None:
    assert _decoded('op/evacuate/a/b') == ({'a/b': 7}, frozenset())


@pytest.mark.parametrize('domain', ['', 'x' * (MAX_DOMAIN_CHARS + 1)])
def test_empty_and_over_long_names_are_malformed(domain: str) -> None:
    key = f'op/evacuate/{domain}'
    assert _decoded(key) == ({}, frozenset((key,)))


def test_similar_keys_are_no_evacuations() -> None:
    keys = ('op/evacuate', 'op/evacuated/a', 'servers/evacuate/a')
    assert _decoded(*keys) == ({}, frozenset())
