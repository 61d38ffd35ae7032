"""The command-line programs."""

import os

# gRPC logs each connection that a peer closes as an error; disable its logs.
os.environ.setdefault('GRPC_VERBOSITY', 'NONE')
