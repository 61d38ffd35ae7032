"""Crashes of a stand-in engine, which starts again under the same id."""

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from .groupengine import GroupEngine


def crash(engine: 'GroupEngine') -> None:
    """End an engine's process; a new one starts after ``restart_s``."""
    engine.crashes += 1
    engine.is_down = True
    engine.deregister()
    loop = asyncio.get_running_loop()
    loop.call_later(engine.restart_s, _start_again, engine)


def crash_with_connections(engine: 'GroupEngine') -> None:
    """End an engine's process, and with it all its running requests."""
    if not engine.is_down:
        engine.end_process(engine)
    for running in tuple(engine.running_by_id.values()):
        abort(running)


def abort(request: web.Request) -> web.Response:
    """Reset the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _start_again(engine: 'GroupEngine') -> None:
    engine.born += 1
    engine.member = engine.member.after_restart()
    engine.is_down = False
    engine.register()
