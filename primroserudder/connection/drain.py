"""How an entry stops without cutting a request.

Explanation
===========
After SIGTERM the readiness check fails and each answer closes its
connection, but new work is still taken for a notice period, so that the
balancer can see it and stop sending. Then new requests are refused as not
run, and what is in flight finishes.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field

from aiohttp import hdrs, web
from loguru import logger

from ..errors import Ran, RudderError
from ..process.metrics import Metrics

DRAIN_LIMIT_S = 600
RETRY_AFTER_S = 1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EntryStopping(RudderError):
    """The entry takes no new work any more."""

    code = 'entry_stopping'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request; the balancer knows other entries'


class DrainStage(enum.StrEnum):
    """How far a drain is."""

    SERVING = 'serving'
    NOTICE = 'notice'
    FINISHING = 'finishing'
    DRAINED = 'drained'


@dataclass(slots=True)
class Drain:
    """Counts the requests of a port and ends them gracefully."""

    metrics: Metrics
    notice_s: float
    limit_s: float = DRAIN_LIMIT_S
    on_draining_change: Callable[[bool], object] = bool
    stage: DrainStage = DrainStage.SERVING
    in_flight: int = 0
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    def attach(self, app: web.Application) -> web.Application:
        """Watch the requests of an application."""
        # Innermost, so that a refusal is answered as any other problem.
        app.middlewares.append(self._watch)
        app.on_response_prepare.append(self._say_close)
        return app

    async def run(self) -> None:
        """Drain; return when nothing is in flight or the limit has passed."""
        if self.stage is DrainStage.SERVING:
            self._enter(DrainStage.NOTICE)
            await asyncio.sleep(self.notice_s)
        self._enter(DrainStage.FINISHING)
        if self.in_flight:
            await self._wait()
        self._enter(DrainStage.DRAINED)

    def resume(self) -> None:
        """Take work again after a drain that was cancelled."""
        self._enter(DrainStage.SERVING)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is taken and nothing is in flight."""
        return self.stage is DrainStage.DRAINED and not self.in_flight

    def dump(self) -> Mapping[str, object]:
        """Return stage and count for the state dump."""
        return {'stage': self.stage.value, 'in_flight': self.in_flight}

    async def _wait(self) -> None:
        try:
            await asyncio.wait_for(self._idle.wait(), self.limit_s)
        except asyncio.TimeoutError:
            self.metrics.count('requests_over_drain_limit', self.in_flight)
            logger.error('{} requests outlived the limit', self.in_flight)

    def _enter(self, stage: DrainStage) -> None:
        self.stage = stage
        self.on_draining_change(stage is not DrainStage.SERVING)
        logger.info('drain: {}, {} in flight', stage.value, self.in_flight)

    @web.middleware
    async def _watch(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if self.stage in {DrainStage.FINISHING, DrainStage.DRAINED}:
            raise EntryStopping(
                'the entry stops',
                retry_after=RETRY_AFTER_S,
            )
        self.in_flight += 1
        self._idle.clear()
        with ExitStack() as stack:
            stack.callback(self._end)
            return await handler(request)

    def _end(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def _say_close(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        if self.stage is not DrainStage.SERVING:
            response.headers[hdrs.CONNECTION] = 'close'
            response.force_close()
