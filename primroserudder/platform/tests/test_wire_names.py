"""Only the ``platform`` package uses the platform's wire names."""

import ast
import itertools
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
# Tests and stand-ins simulate the platform, so they may use its wire names.
EXEMPT_FOLDERS = frozenset(('platform', 'standins', 'testing', 'tests'))
# Modules of data types, the one that describes validation errors, and the HTTP
# client, which knows no other package.
ALLOWED_MODULES = frozenset(
    (
        'errors',
        'fleet.model',
        'httpclient',
        'process.platform',
        'process.settings',
        'process.tablepages',
    )
)
FORBIDDEN_MODULES = frozenset(('asyncio', 'random', 'time', 'threading'))
WIRE_NAMES = (
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
    'Server-Leaving',
    'evacuate/',
)


def _other_sources() -> list[pathlib.Path]:
    return [
        path
        for path in PACKAGE.rglob('*.py')
        if not EXEMPT_FOLDERS.intersection(path.relative_to(PACKAGE).parts)
    ]


@pytest.mark.parametrize('wire_name', WIRE_NAMES)
def test_no_other_package_uses_a_wire_name(wire_name: str) -> None:
    users = [path for path in _other_sources() if wire_name in path.read_text()]
    assert not users


def _modules(package: str) -> list[ast.Module]:
    return [
        ast.parse(path.read_text())
        for path in sorted((PACKAGE / package).glob('*.py'))
    ]


def _outer_imports(package: str) -> set[str | None]:
    """Return the modules of other packages that a package imports."""
    return {
        node.module
        for module in _modules(package)
        for node in ast.walk(module)
        if isinstance(node, ast.ImportFrom) and node.level > 1
    }


def _imported_modules(node: ast.AST) -> list[str]:
    """Return the modules that an absolute import names."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom) and not node.level:
        return [str(node.module)]
    return []


def test_platform_package_imports_only_data_types() -> None:
    assert _outer_imports('platform') <= ALLOWED_MODULES


def test_http_client_imports_no_other_package() -> None:
    assert not _outer_imports('httpclient')


def test_platform_package_does_not_wait_or_use_randomness_or_tasks() -> None:
    nodes = itertools.chain.from_iterable(map(ast.walk, _modules('platform')))
    imported = itertools.chain.from_iterable(map(_imported_modules, nodes))
    assert FORBIDDEN_MODULES.isdisjoint(imported)
