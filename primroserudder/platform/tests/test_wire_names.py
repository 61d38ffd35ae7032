"""The platform's words stand in its folder, and nowhere else."""

import ast
import itertools
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
# Tests and stand-ins play the platform's part.
SPEAKERS = frozenset(('platform', 'standins', 'testing', 'tests'))
# Data types, and the one reader of settings errors.
TYPES_OF_THE_PRODUCT = frozenset(
    (
        'errors',
        'fleet.model',
        'process.platform',
        'process.settings',
        'process.tables',
    )
)
WAITING_MODULES = frozenset(('asyncio', 'random', 'time', 'threading'))
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


def _folder() -> list[ast.Module]:
    return [
        ast.parse(path.read_text())
        for path in sorted((PACKAGE / 'platform').glob('*.py'))
    ]


def _imported(node: ast.AST) -> list[str]:
    """Return the modules of other packages that a statement imports."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom) and not node.level:
        return [str(node.module)]
    return []


def test_the_folder_knows_only_data_types_of_the_product() -> None:
    imported = {
        node.module
        for module in _folder()
        for node in ast.walk(module)
        if isinstance(node, ast.ImportFrom) and node.level > 1
    }
    assert imported <= TYPES_OF_THE_PRODUCT


def test_the_folder_neither_waits_nor_draws_lots_nor_starts_tasks() -> None:
    nodes = itertools.chain.from_iterable(map(ast.walk, _folder()))
    names = itertools.chain.from_iterable(map(_imported, nodes))
    assert WAITING_MODULES.isdisjoint(names)
