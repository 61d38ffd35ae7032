"""The platform's words stand in its folder, and nowhere else."""

import itertools
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
# Tests and stand-ins play the platform's part.
SPEAKERS = frozenset(('platform', 'standins', 'testing', 'tests'))
WORDS = (
    'X-Primroserudder',
    'rows-tx',
    'rows-get',
    'rows-feed',
    'blob-put',
    'api/order',
    'api/report',
    'api/readyz',
    'RouteKind',
    'FencingToken',
    'RetryBudgetRatio',
    'SinceRev',
    'ExpectedRev',
    'KvCapacity',
    'HistoryLimit',
    'SloMs',
    'ApiKeys',
    'CloseMode',
    'At-Server',
)


def _sources() -> list[pathlib.Path]:
    return [
        path
        for path in PACKAGE.rglob('*.py')
        if not SPEAKERS.intersection(path.relative_to(PACKAGE).parts)
    ]


@pytest.mark.parametrize('word', WORDS)
def test_no_other_package_knows_the_platforms_words(word: str) -> None:
    found = [path for path in _sources() if word in path.read_text()]
    assert not found


def test_the_folder_stays_small() -> None:
    lines = itertools.chain.from_iterable(
        path.read_text().splitlines()
        for path in (PACKAGE / 'platform').glob('*.py')
    )
    assert sum(1 for _ in lines) < 1200
