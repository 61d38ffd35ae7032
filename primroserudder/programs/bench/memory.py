"""Measures the memory and CPU time per peer, engine and workspace."""

import argparse
import gc
import pathlib
import time
import tracemalloc
from collections.abc import Callable, Sequence

from ...connection.exchange import apply_hello, node_to_message
from ...process.clock import SystemClock
from ...process.evidence import EvidenceBook
from ...process.groups import GroupDirectory
from ...process.membership import Membership, Node
from ...testing import builders
from ...version.holder import make_version
from ...wire import peers_pb2
from .slope import Point, Slope, fit, write_slopes

COMMAND = 'bin/bench'
PEERS = (34, 170, 470)
GROUPS = (4, 66, 925)
WORKSPACES = (10, 40, 100)
GROUP_SIZE = 4
ROUNDS = 20
DOMAINS = 14
INCARNATION_LENGTH = 32


def main() -> None:
    """Measure the slopes and write them to a file."""
    parser = argparse.ArgumentParser(
        description='Measures slopes of memory and CPU time.'
    )
    parser.add_argument('--out', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    write_slopes(
        arguments.out,
        [
            _bytes_slope('peer', PEERS, _membership),
            _bytes_slope('engine', GROUPS, _groups, GROUP_SIZE),
            _bytes_slope('workspace', WORKSPACES, _version),
            _cpu_slope('hello_cpu', 'known node', PEERS, _apply_hello),
            _cpu_slope('render_cpu', 'workspace', WORKSPACES, _version),
        ],
    )


def _bytes_slope(
    each: str,
    sizes: Sequence[int],
    make: Callable[[int], object],
    units_each: int = 1,
) -> Slope:
    points = [
        Point(size * units_each, _retained_bytes(make, size)) for size in sizes
    ]
    return fit(f'{each}_bytes', 'bytes', each, COMMAND, points)


def _cpu_slope(
    name: str,
    each: str,
    sizes: Sequence[int],
    work: Callable[[int], object],
) -> Slope:
    points = [Point(size, _cpu_s(work, size)) for size in sizes]
    return fit(name, 'CPU seconds', each, COMMAND, points)


def _retained_bytes(make: Callable[[int], object], size: int) -> int:
    make(size)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = make(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The object must stay referenced until its memory is measured.
    return 0 if retained is None else after - before


def _cpu_s(work: Callable[[int], object], size: int) -> float:
    work(size)
    started_cpu_s = time.process_time()
    for _ in range(ROUNDS):
        work(size)
    return (time.process_time() - started_cpu_s) / ROUNDS


def _node(index: int) -> Node:
    domain = index % DOMAINS
    return Node(
        node_id=f'entry-{index}',
        incarnation=str(index).zfill(INCARNATION_LENGTH),
        failure_domain=f'fd-{domain}',
        role='entry',
        address=f'127.0.0.1:{index}',
    )


def _membership(size: int) -> object:
    membership = Membership(_node(0), SystemClock())
    for index in range(1, size + 1):
        membership.note_contact(_node(index), 1)
    return membership


def _groups(size: int) -> object:
    directory = GroupDirectory()
    book = EvidenceBook(SystemClock())
    for index in range(size):
        group = builders.group(index, GROUP_SIZE)
        directory.update(group)
        for rank, _ in enumerate(group.members):
            book.note(builders.confirmed(group, rank), 0)
    return directory, book


def _version(size: int) -> object:
    template = {'template': 'ledger'}
    workspaces = {
        f'yard-{index}': {'keys': {}, 'services': {'ledger': template}}
        for index in range(size)
    }
    return make_version(1, builders.document_body(workspaces=workspaces))


def _apply_hello(size: int) -> object:
    membership = Membership(_node(0), SystemClock())
    hello = peers_pb2.Hello(
        sender=node_to_message(_node(1)),
        version=1,
        known=map(node_to_message, map(_node, range(size))),
    )
    apply_hello(
        membership, peers_pb2.Hello.FromString(hello.SerializeToString())
    )
    return membership


if __name__ == '__main__':
    main()
