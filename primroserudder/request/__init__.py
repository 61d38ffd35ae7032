"""Handles one request: checks, routing, attempts and response."""

from .attempts import Server
from .authentication import authenticate
from .caller import CallerRequest, parse_completion
from .dispatch import DispatchRecord
from .relay import StreamRelay
from .routing import Router

__all__ = (
    'CallerRequest',
    'DispatchRecord',
    'Router',
    'Server',
    'StreamRelay',
    'authenticate',
    'parse_completion',
)
