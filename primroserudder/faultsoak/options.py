"""Options of a soak."""

import pathlib
from dataclasses import dataclass

DEFAULT_SECONDS = 20.0
DEFAULT_ROUTERS = 3
DEFAULT_ENGINES = 9
DEFAULT_CALLERS = 12


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """The size and duration of one soak, and its random seed.

    Parameters
    ==========
    seconds : float
        Length of the period in which faults start.
    recovery_s : float
        Time after the last fault within which each router must serve again.
    folder : pathlib.Path
        Where the routers' settings and logs are written.
    """

    seed: int
    folder: pathlib.Path
    seconds: float = DEFAULT_SECONDS
    routers: int = DEFAULT_ROUTERS
    engines: int = DEFAULT_ENGINES
    plain_engines: int = 2
    callers: int = DEFAULT_CALLERS
    recovery_s: float = 30.0
