"""HTTP servers on listening ports."""

import asyncio

from aiohttp import web

from ..process.settings import Listener, SettingsError
from .tls import server_context

SHUTDOWN_TIMEOUT_S = 600
KEEPALIVE_TIMEOUT_S = 75


async def serve(
    app: web.Application,
    listener: Listener,
    name: str,
) -> web.AppRunner:
    """Serve an application on a port.

    Explanation
    ===========
    A handler is cancelled when its client disconnects.

    Raises
    ======
    SettingsError
        The port is in use, or the process may not bind it.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
    )
    await runner.setup()
    site = web.TCPSite(
        runner,
        listener.host,
        listener.port,
        ssl_context=server_context(listener.tls),
    )
    try:
        await site.start()
    except OSError as error:
        await runner.cleanup()
        raise SettingsError(
            f'{name}: {listener.address}: cannot listen: {error.strerror}',
            remedy='stop the program that uses the port or set another one',
        ) from error
    return runner


def bound_port(runner: web.AppRunner) -> int:
    """Return the port on which a runner listens."""
    return int(runner.addresses[0][1])


async def wait_forever() -> None:
    """Wait until the task is cancelled."""
    await asyncio.Event().wait()
