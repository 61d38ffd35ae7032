"""The command-line programs."""

import os

# The library logs each closed connection of a peer as an error of its own.
os.environ.setdefault('GRPC_VERBOSITY', 'NONE')
