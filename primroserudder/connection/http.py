"""HTTP servers on listening ports."""

import asyncio

from aiohttp import web

from ..intake import ConnectionRegister, IntakeLimits, MemoryBudget
from ..intake.runner import IntakeRunner
from ..intake.server import Intake, listen
from ..process.metrics import Metrics
from ..process.settings import DEFAULT_MEMORY_MB, Listener, SettingsError
from .refusals import refused_head
from .tls import server_context

SHUTDOWN_TIMEOUT_S = 600
KEEPALIVE_TIMEOUT_S = 75
HEAD_TIMEOUT_S = 10
LIMITS = IntakeLimits(header_s=HEAD_TIMEOUT_S)


def intake(
    register: ConnectionRegister, *, always_admits: bool = False
) -> Intake:
    """Return what the connections of a port are held to."""
    return Intake(register, lambda: LIMITS, always_admits, refused_head)


async def serve(
    app: web.Application,
    listener: Listener,
    name: str,
    held_to: Intake | None = None,
) -> web.AppRunner:
    """Serve an application on a port.

    Explanation
    ===========
    A handler is cancelled when its client disconnects.

    Parameters
    ==========
    held_to : Intake or None
        What connections are held to, ``None`` for the usual limits of a process
        with this port alone.

    Raises
    ======
    SettingsError
        The port is in use, or the process may not bind it.
    """
    runner = IntakeRunner(
        app,
        held_to or intake(_own_register()),
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
    )
    await runner.setup()
    context = server_context(listener.tls)
    try:
        listening = listen(listener.host, listener.port)
    except OSError as error:
        await runner.cleanup()
        raise SettingsError(
            f'{name}: {listener.address}: cannot listen: {error.strerror}',
            remedy='stop the program that uses the port or set another one',
        ) from error
    await web.SockSite(runner, listening, ssl_context=context).start()
    return runner


def bound_port(runner: web.AppRunner) -> int:
    """Return the port on which a runner listens."""
    return int(runner.addresses[0][1])


def _own_register() -> ConnectionRegister:
    return ConnectionRegister(MemoryBudget.of_vm(DEFAULT_MEMORY_MB), Metrics())


async def wait_forever() -> None:
    """Wait until the task is cancelled."""
    await asyncio.Event().wait()
