"""Crashes of a stand-in engine, which starts again under the same id."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .groupengine import GroupEngine


def crash(engine: 'GroupEngine') -> None:
    """End an engine's process; a new one starts after ``restart_s``."""
    engine.crashes += 1
    engine.is_down = True
    engine.deregister()
    loop = asyncio.get_running_loop()
    loop.call_later(engine.restart_s, _start_again, engine)


def _start_again(engine: 'GroupEngine') -> None:
    engine.born += 1
    engine.member = engine.member.after_restart()
    engine.is_down = False
    engine.register()
