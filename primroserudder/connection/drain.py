"""Graceful shutdown of an entry without cutting off requests.

Explanation
===========
After SIGTERM the readiness check fails and each response closes its
connection. New requests are still accepted for a notice period, in which the
load balancer can detect the failed check and stop sending. After that, new
requests are refused as not run, and requests in flight finish.
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
    """The entry is shutting down and accepts no new requests."""

    code = 'entry_stopping'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request; the balancer knows other entries'


class DrainStage(enum.StrEnum):
    """The stages of a drain, in their order."""

    SERVING = 'serving'
    NOTICE = 'notice'
    FINISHING = 'finishing'
    DRAINED = 'drained'


@dataclass(slots=True)
class Drain:
    """Counts the requests in flight on a port and drains them."""

    metrics: Metrics
    notice_s: float
    limit_s: float = DRAIN_LIMIT_S
    on_draining_change: Callable[[bool], object] = bool
    stage: DrainStage = DrainStage.SERVING
    in_flight: int = 0
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    def attach(self, app: web.Application) -> web.Application:
        """Count the requests of an application and return it."""
        # The innermost middleware: the outer ones turn its refusal into a
        # problem response, as for every other error.
        app.middlewares.append(self._track_request)
        app.on_response_prepare.append(self._add_close_header)
        return app

    async def run(self) -> None:
        """Drain until nothing is in flight or ``limit_s`` has passed."""
        if self.stage is DrainStage.SERVING:
            self._enter_stage(DrainStage.NOTICE)
            await asyncio.sleep(self.notice_s)
        self._enter_stage(DrainStage.FINISHING)
        if self.in_flight:
            await self._wait_until_idle()
        self._enter_stage(DrainStage.DRAINED)

    def resume(self) -> None:
        """Accept requests again after a cancelled drain."""
        self._enter_stage(DrainStage.SERVING)

    @property
    def is_empty(self) -> bool:
        """Return whether the drain is over and nothing is in flight."""
        return self.stage is DrainStage.DRAINED and not self.in_flight

    def dump(self) -> Mapping[str, object]:
        """Return the stage and the requests in flight for the state dump."""
        return {'stage': self.stage.value, 'in_flight': self.in_flight}

    async def _wait_until_idle(self) -> None:
        try:
            await asyncio.wait_for(self._idle.wait(), self.limit_s)
        except asyncio.TimeoutError:
            self.metrics.count('requests_over_drain_limit', self.in_flight)
            logger.error('{} requests exceeded the drain limit', self.in_flight)

    def _enter_stage(self, stage: DrainStage) -> None:
        self.stage = stage
        self.on_draining_change(stage is not DrainStage.SERVING)
        logger.info('drain: {}, {} in flight', stage.value, self.in_flight)

    @web.middleware
    async def _track_request(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if self.stage in {DrainStage.FINISHING, DrainStage.DRAINED}:
            raise EntryStopping(
                'the entry is shutting down',
                retry_after=RETRY_AFTER_S,
            )
        self.in_flight += 1
        self._idle.clear()
        with ExitStack() as stack:
            stack.callback(self._end_request)
            return await handler(request)

    def _end_request(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def _add_close_header(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        if self.stage is not DrainStage.SERVING:
            response.headers[hdrs.CONNECTION] = 'close'
            response.force_close()
