"""The name of the build that runs, from its source files."""

import functools
import pathlib

import xxhash

PACKAGE = pathlib.Path(__file__).parents[2]
_TESTS = 'tests'


@functools.cache
def build_name() -> str:
    """Return a digest of the package's source files.

    Explanation
    ===========
    VMs have the files of a commit and not its name. Equal files have equal
    names, on all VMs; ``rudder-router --build`` prints the name of a checkout.

    Examples
    ========
    >>> len(build_name())
    16
    """
    hasher = xxhash.xxh3_64()
    for path in sorted(PACKAGE.rglob('*.py')):
        relative = path.relative_to(PACKAGE)
        if _TESTS not in relative.parts:
            hasher.update(relative.as_posix().encode())
            hasher.update(path.read_bytes())
    return hasher.hexdigest()
