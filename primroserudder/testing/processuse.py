"""What a process uses of its machine: memory, sockets' bytes, descriptors."""

import pathlib
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass

BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
TCP_TABLE = pathlib.Path('/proc/net/tcp')
LISTENING = '0A'
SOCKET_PREFIX = 'socket:['


@dataclass(frozen=True, slots=True)
class _Socket:
    """A row of the kernel's table of TCP sockets."""

    local_port: int
    state: str
    queued_bytes: int
    inode: str


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            kib = int(line.split()[1])
            return kib * BYTES_PER_KIB / BYTES_PER_MB
    return 0


def memory_mb(pid: int) -> float:
    """Return a process's resident memory and what its sockets hold, in MB.

    Explanation
    ===========
    Counted are bytes received and not read, and bytes sent and not
    acknowledged, also of connections that the process has not accepted yet.
    """
    return resident_mb(pid) + socket_bytes(pid) / BYTES_PER_MB


def socket_bytes(pid: int) -> int:
    """Return how many bytes wait in the queues of a process's sockets."""
    inodes = _socket_inodes(pid)
    rows = list(_sockets())
    ports = {
        row.local_port
        for row in rows
        if row.state == LISTENING and row.inode in inodes
    }
    return sum(
        row.queued_bytes
        for row in rows
        if row.state != LISTENING
        and (row.inode in inodes or row.local_port in ports)
    )


def descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return sum(1 for _ in pathlib.Path(f'/proc/{pid}/fd').iterdir())


def _socket_inodes(pid: int) -> set[str]:
    return {
        target.removeprefix(SOCKET_PREFIX).rstrip(']')
        for target in _descriptor_targets(pid)
        if target.startswith(SOCKET_PREFIX)
    }


def _descriptor_targets(pid: int) -> Iterator[str]:
    for link in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        # It may have been closed meanwhile.
        with suppress(OSError):
            yield str(link.readlink())


def _sockets() -> Iterator[_Socket]:
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        sent, _, received = fields[4].partition(':')
        yield _Socket(
            local_port=int(fields[1].rpartition(':')[2], 16),
            state=fields[3],
            queued_bytes=int(sent, 16) + int(received, 16),
            inode=fields[9],
        )
