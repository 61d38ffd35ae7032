"""Handles one request: checks, routing, attempts and response."""

from .attempts import Server
from .caller import CallerRequest, parse_completion
from .identity import authenticate
from .passage import Passage
from .relay import StreamRelay
from .routing import Router

__all__ = (
    'CallerRequest',
    'Passage',
    'Router',
    'Server',
    'StreamRelay',
    'authenticate',
    'parse_completion',
)
