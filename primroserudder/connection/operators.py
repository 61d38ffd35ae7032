"""The operators' port of each process."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from http import HTTPStatus

from aiohttp import web

from ..errors import Ran, RudderError
from ..process.metrics import Metrics
from ..process.state import StateDump
from ..request.problem import problem_body, problem_headers
from ..version.document import ConfigurationError
from ..version.holder import Version, VersionHolder
from ..version.store import VersionStore
from .callers import json_response
from .site import Site

HISTORY_SHOWN = 20
MAX_HISTORY_SHOWN = 1000
OPEN_PATHS = frozenset(('/healthz', '/readyz'))

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Publish = Callable[[Version], None]


class WrongToken(RudderError):
    """The request has no valid operators' token."""

    code = 'wrong_token'
    status = HTTPStatus.UNAUTHORIZED
    ran = Ran.NO
    default_remedy = 'send Authorization: Bearer with operators_token'


@dataclass(slots=True)
class Operators:
    """Handles operators' requests."""

    token: str
    metrics: Metrics
    state: StateDump
    holder: VersionHolder
    store: VersionStore
    is_ready: Callable[[], bool]
    publish: Publish
    site: Site
    routes: list[web.RouteDef] = field(default_factory=list)

    def app(self) -> web.Application:
        """Return the application of the operators' port."""
        app = web.Application(middlewares=[self._authorize])
        app.add_routes(
            [
                web.get('/healthz', self.health),
                web.get('/readyz', self.ready),
                web.get('/metrics', self.show_metrics),
                web.get('/state', self.dump),
                web.get('/v1/site', self.show_site),
                web.get('/v1/config', self.show_version),
                web.get('/v1/config/history', self.show_history),
                web.post('/v1/config', self.apply),
                web.get('/v1/config/submissions/{id}', self.show_submission),
                *self.routes,
            ]
        )
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Return 200 as long as the process runs."""
        return web.Response(text='ok\n')

    async def ready(self, request: web.Request) -> web.Response:
        """Return whether the load balancer may send new requests."""
        if self.is_ready():
            return web.Response(text='ready\n')
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, text='not ready\n'
        )

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(
            body=self.metrics.prometheus_text(),
            content_type='text/plain',
            charset='utf-8',
        )

    async def dump(self, request: web.Request) -> web.Response:
        """Return the state of the process."""
        return json_response(self.state.collect())

    async def show_version(self, request: web.Request) -> web.Response:
        """Return the configuration that is in force in this process."""
        current = self.holder.current
        return json_response(
            {
                'number': current.number,
                'digest': current.digest,
                'document': current.body.decode(),
            }
        )

    async def show_submission(self, request: web.Request) -> web.Response:
        """Return the version that a submission became, or ``None``."""
        submission = request.match_info['id']
        accepted = await self.store.find_submission(submission)
        number = None if accepted is None else accepted.number
        return json_response({'submission': submission, 'number': number})

    async def show_history(self, request: web.Request) -> web.Response:
        """Return the latest accepted versions, newest first."""
        limit = request.query.get('limit', str(HISTORY_SHOWN))
        if not limit.isdecimal():
            raise ConfigurationError(
                f'limit: got {limit!r}: expected a whole number',
                remedy='ask with limit=20',
            )
        count = min(int(limit), MAX_HISTORY_SHOWN)
        history = await self.store.history(count)
        return json_response([asdict(accepted) for accepted in history])

    async def show_site(self, request: web.Request) -> web.Response:
        """Return sections of the state of each known node."""
        sections = request.query.get('sections', 'node').split(',')
        return json_response(await self.site.collect(sections))

    async def apply(self, request: web.Request) -> web.Response:
        """Submit a configuration as the successor of a base version."""
        base = request.query.get('base', '')
        submission = request.query.get('submission', '')
        if not base.isdecimal() or not submission:
            raise ConfigurationError(
                'the query lacks a valid base or a submission: expected both',
            )
        body = await request.read()
        version = await self.store.submit(body, int(base), submission)
        self.holder.offer(version)
        self.publish(version)
        return json_response({'number': version.number})

    @web.middleware
    async def _authorize(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        try:
            if request.path not in OPEN_PATHS:
                self._check_token(request)
            return await handler(request)
        except RudderError as error:
            return web.Response(
                status=error.status,
                body=problem_body(error, ''),
                headers=problem_headers(error, ''),
            )

    def _check_token(self, request: web.Request) -> None:
        received = request.headers.get('Authorization', '').encode()
        expected = f'Bearer {self.token}'.encode()
        if not hmac.compare_digest(received, expected):
            raise WrongToken("got no valid operators' token")
