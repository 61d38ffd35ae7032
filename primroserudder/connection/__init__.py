"""Listening ports, protocol adapters and channels to peers."""

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
