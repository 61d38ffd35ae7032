"""The program ``rudder-entry``."""

import sys

from ..process.settings import EntrySettings
from .common import serve_from_settings
from .entrynode import EntryNode


def main() -> None:
    """Run an entry."""
    sys.exit(
        serve_from_settings(
            'rudder-entry',
            "Forwards callers' requests to whole groups of upstream VMs.",
            EntrySettings,
            EntryNode,
        ),
    )
