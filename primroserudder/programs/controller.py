"""The program ``rudder-controller``."""

import sys

from ..process.settings import ControllerSettings
from .common import serve_from_settings
from .controllernode import ControllerNode


def main() -> None:
    """Run a controller."""
    sys.exit(
        serve_from_settings(
            'rudder-controller',
            'Forms the groups of a failure domain and sends engine orders.',
            ControllerSettings,
            ControllerNode,
        ),
    )
