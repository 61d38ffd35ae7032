"""The program ``rudder-standin``."""

import sys

from ..standins.fleet import Standins
from ..standins.settings import StandinSettings
from .common import serve_from_settings


def main() -> None:
    """Run stand-ins of the external systems."""
    sys.exit(
        serve_from_settings(
            'rudder-standin',
            'Stands in for platform, engines and plain services in tests.',
            StandinSettings,
            Standins,
        ),
    )
