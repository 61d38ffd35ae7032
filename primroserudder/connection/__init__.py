"""What lives as long as a connection: ports, adapters and peer channels."""

from .callers import Callers
from .enginehttp import EngineHttp
from .operators import Operators
from .peers import PeerChannels
from .platformhttp import PlatformHttp
from .stopsapi import make_stops_api

__all__ = (
    'Callers',
    'EngineHttp',
    'Operators',
    'PeerChannels',
    'PlatformHttp',
    'make_stops_api',
)
