"""``rudder-router``: serves callers on the users' platform."""

import importlib
import signal
import sys

PROGRAM = '.routerprogram'


def main() -> int:
    """Run the router and return its exit code.

    Explanation
    ===========
    The router's imports take most of its start. A reload signal that comes in
    that time would end the process, so that it is ignored before them.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module(PROGRAM, 'primroserudder.programs')
    return int(program.run())


if __name__ == '__main__':
    sys.exit(main())
