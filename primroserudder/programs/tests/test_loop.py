"""Test that the event loop of the programs uses no io_uring."""

import asyncio
import os
import pathlib

from ..common import new_loop

DESCRIPTORS_FOLDER = pathlib.Path('/proc/self/fd')


def _descriptors() -> set[str]:
    return {
        os.readlink(path)
        for path in DESCRIPTORS_FOLDER.iterdir()
        if path.is_symlink()
    }


async def _descriptors_after_work(path: pathlib.Path) -> set[str]:
    """Do file and network work on the loop and return its descriptors."""
    loop = asyncio.get_running_loop()

    async def _echo(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(await reader.readexactly(4))
        writer.close()

    server = await asyncio.start_server(_echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'ping')
    assert await reader.readexactly(4) == b'ping'
    await loop.run_in_executor(None, path.write_bytes, b'ping')
    await loop.getaddrinfo('127.0.0.1', port)
    descriptors = _descriptors()
    writer.close()
    server.close()
    return descriptors


def test_loop_opens_no_io_uring(tmp_path: pathlib.Path) -> None:
    with asyncio.Runner(loop_factory=new_loop) as runner:
        descriptors = runner.run(_descriptors_after_work(tmp_path / 'file'))
    assert any('eventpoll' in name for name in descriptors)
    assert not any('io_uring' in name for name in descriptors)
