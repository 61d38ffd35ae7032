"""Tests of the operators' routes for suspects."""

import orjson
from aiohttp import web

from ...request.suspects import Strike
from ...testing import builders
from ...testing.loopbackentry import LoopbackEntry
from ..suspectroutes import SuspectRoutes


async def test_operator_lists_and_clears_a_quarantined_content() -> None:
    async with LoopbackEntry() as entry:
        isolation = entry.bench.server.isolation
        for index in range(2):
            group = builders.group(index, fabric_domain=f'f{index}')
            loss = isolation.registry.note_loss(group)
            isolation.registry.strike(Strike('k', loss, 0, bool(index)))
        app = web.Application()
        app.add_routes(SuspectRoutes(isolation).routes())
        address = await entry.listen(app)
        url = f'http://{address}/v1/suspects'
        async with entry.session.get(url) as answer:
            listed = orjson.loads(await answer.read())
        assert listed['k']['quarantined_for_s'] > 0
        async with entry.session.delete(f'{url}/k') as answer:
            cleared = orjson.loads(await answer.read())
        assert cleared == {'fingerprint': 'k', 'was_known': True}
        assert not isolation.registry.is_suspect('k')
