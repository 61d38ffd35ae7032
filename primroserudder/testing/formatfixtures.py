"""The ``bin/format-fixtures`` program: writes what a build writes, as files.

Explanation
===========
Runs a small site with the code of a checkout, which may be an older one, and
keeps its notices, its rows in the store, its relayed tables and the header
fields of a forwarded request. Tests read these files with the rules of this
build. The module is run inside the package of the checkout and uses only what
08c7865 has.
"""

import asyncio
import base64
import pathlib
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from unittest import mock

import aiohttp
import orjson
from multidict import CIMultiDict, CIMultiDictProxy

from ..fleet.forwarding import headers_for_router
from ..fleet.membership.exchange import Exchange
from ..fleet.membership.notice import (
    Direction,
    Facts,
    LimitNews,
    LoadPart,
    Notice,
    Strikes,
    encode_notice,
)
from ..fleet.relaying.tablecoding import encode_table
from ..process.tablepages import StoreVersion
from .platformsite import PlatformSite, platform_site

CRASHING = b'this crashes each engine that runs it'
SENDS = 3
# Datagrams that are kept of one site, beside the ones made by hand.
KEPT_DATAGRAMS = 40
SETTLING_S = 1.5
# Tables of the platform itself, in its own formats.
FOREIGN_TABLES = frozenset(('op', 'servers'))


def made_notices() -> list[bytes]:
    """Return notices with all fields set, one for each direction."""
    versions = {'servers': 17}
    facts = Facts('a/1', 90, 'b/2', True, True, 3, versions, (1, 2), (3,))
    limits = {9: LimitNews(1500, 2)}
    counts = ({7: 3}, {8: 2}, {9: 4}, {9: 5})
    load = LoadPart(1, 2, *counts, limits, 6)
    return [
        encode_notice(
            Notice(
                direction,
                1_700_000_000_000_000_000,
                12,
                'fd-1',
                1.5,
                facts,
                Strikes(('c0ffee=i-1@2',), ('c0ffee=i-3@4',)),
                load,
                2,
                ('10.0.0.1:7340', '', '10.0.0.2:7340'),
                '10.0.0.3:7340',
                '10.0.0.4:7340',
                True,
                '10.0.0.5:7340',
            )
        )
        for direction in Direction
    ]


@contextmanager
def _recorded(datagrams: list[bytes]) -> Iterator[None]:
    """Keep the datagrams that all routers send."""
    transmit = Exchange._transmit  # noqa: SLF001
    patch = mock.patch.object(Exchange, '_transmit', autospec=True)
    with patch as patched:
        patched.side_effect = transmit
        yield
        datagrams.extend(call.args[1] for call in patched.call_args_list)


async def write_fixtures(folder: pathlib.Path) -> None:
    """Run a site and write what it wrote."""
    datagrams: list[bytes] = []
    with _recorded(datagrams):
        async with platform_site(plain=4, routers=3) as site:
            await _play(site)
            rows = _rows(site)
            tables = _tables(site)
    step = max(1, len(datagrams) // KEPT_DATAGRAMS)
    kept = [*made_notices(), *datagrams[::step]]
    forwarded = headers_for_router(
        CIMultiDictProxy(CIMultiDict({'Host': 'one.example', 'X-A': 'b'})),
        2,
        1.5,
        '17',
    )
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder / 'notices.json', [packet.hex() for packet in kept])
    _write(folder / 'rows.json', rows)
    _write(folder / 'tables.json', tables)
    _write(
        folder / 'forwarded.json',
        {str(name): text for name, text in forwarded.items()},
    )


async def _play(site: PlatformSite) -> None:
    """Let the routers know each other, form groups and see two crashes."""
    directories = [router.view.directory for router in site.routers]
    await site.until(
        lambda: all(len(each.targets_by_pool()) == 2 for each in directories)
    )
    for engine in site.engines_by_id.values():
        engine.faults.crashing_bodies.add(CRASHING)
    for router in range(SENDS):
        with suppress(aiohttp.ClientError):
            async with site.request(
                '/refunds/1', body=CRASHING, router=router
            ) as response:
                await response.read()
        await asyncio.sleep(SETTLING_S)


def _rows(site: PlatformSite) -> Mapping[str, object]:
    return {
        f'{table}/{key}': orjson.loads(base64.b64decode(str(row.value)))
        for (table, key), row in site.store.rows.rows_by_id.items()
        if table not in FOREIGN_TABLES
    }


def _tables(site: PlatformSite) -> Mapping[str, object]:
    followers = site.routers[0].view.followers_by_table
    return {
        table: encode_table(follower, StoreVersion(0, 0)).decode()
        for table, follower in followers.items()
    }


def _write(path: pathlib.Path, written: object) -> None:
    options = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    path.write_bytes(orjson.dumps(written, option=options))


if __name__ == '__main__':
    asyncio.run(write_fixtures(pathlib.Path(sys.argv[1])))
