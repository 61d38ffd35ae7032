"""The program ``rudder-router``: serves callers on the VMs of a platform."""

import importlib
import signal
import sys

PROGRAM_MODULE = '.routerprogram'


def main() -> int:
    """Run the router and return its exit code.

    Explanation
    ===========
    Imports take most of the router's start-up time. SIGHUP would end the
    process during that time, so it is ignored before the imports.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module(PROGRAM_MODULE, 'primroserudder.programs')
    return int(program.run())


if __name__ == '__main__':
    sys.exit(main())
