"""Listening ports, protocol adapters and channels to peers."""

from .callers import Callers
from .enginehttp import EngineHttp, node_session
from .http import bound_port, intake, serve
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
    'bound_port',
    'intake',
    'make_stops_api',
    'node_session',
    'serve',
)
