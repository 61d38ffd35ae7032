"""Hypothesis settings of all tests, and the tests that are known to fail.

Explanation
===========
Tests use fixed seeds and have no wall-clock deadline. A line of
``KNOWN-RED.txt`` that starts with ``test:`` names a test that fails for a
known fault; it is expected to fail, and the run fails if it passes.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')

KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'
KNOWN_FAILURE_PREFIX = 'test:'


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],  # noqa: WPS110 (the hook's name for it)
) -> None:
    """Expect the known failures to fail."""
    known = _known_failures(config.rootpath / KNOWN_FAILURES_FILE)
    for test in items:
        if test.nodeid in known:
            test.add_marker(
                pytest.mark.xfail(reason=KNOWN_FAILURES_FILE, strict=True)
            )


def _known_failures(path: Path) -> set[str]:
    return {
        line.strip().removeprefix(KNOWN_FAILURE_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.strip().startswith(KNOWN_FAILURE_PREFIX)
    }
