"""The program ``rudder-router``: serves callers on the VMs of a platform."""

import importlib
import os
import signal
import sys

PROGRAM_MODULE = '.routerprogram'
# The file of CA certificates that OpenSSL loads by default.
CA_FILE_VARIABLE = 'SSL_CERT_FILE'


def main() -> int:
    """Run the router and return its exit code.

    Explanation
    ===========
    Imports take most of the router's start-up time. SIGHUP would end the
    process during that time, so it is ignored before the imports. The router
    opens no TLS connections; the HTTP library would load the CA certificates
    on import, which makes the start longer.
    """
    os.environ[CA_FILE_VARIABLE] = os.devnull
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module(PROGRAM_MODULE, 'primroserudder.programs')
    return int(program.run())


if __name__ == '__main__':
    sys.exit(main())
