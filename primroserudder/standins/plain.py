"""A plain HTTP service that counts how often each request ran."""

from collections import Counter
from dataclasses import dataclass, field

import orjson
from aiohttp import web


@dataclass(slots=True)
class PlainStandin:
    """Echoes requests and counts the runs of each body."""

    name: str
    runs_by_body: Counter[str] = field(default_factory=Counter)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/runs', self.runs),
                web.route('*', '/{path:.*}', self.run),
            ]
        )
        return app

    async def run(self, request: web.Request) -> web.Response:
        """Echo a request and count its run."""
        body = (await request.read()).decode(errors='replace')
        self.runs_by_body[body] += 1
        return _json(
            {
                'service': self.name,
                'path': request.path,
                'body': body,
                'run': self.runs_by_body[body],
            }
        )

    async def runs(self, request: web.Request) -> web.Response:
        """Return how often each body ran."""
        return _json(self.runs_by_body)


def _json(body: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(body),
        content_type='application/json',
    )
