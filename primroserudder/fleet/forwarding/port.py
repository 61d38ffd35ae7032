"""Answers other routers at the port for traffic between routers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from ...errors import RudderError
from ...process.decisions import DecisionLog
from ..errorresponse import error_response
from .messages import (
    CUT_OFF,
    REACH_PATH,
    STOPPING,
    MalformedForwarding,
    forwarded_attempts,
    mark_not_run,
)
from .reach import EngineReach

ServeForwarded = Callable[[web.BaseRequest, int], Awaitable[web.StreamResponse]]
Answer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class RouterPort:
    """Serves forwarded requests, and says whether engines are reached.

    Parameters
    ==========
    relay : Callable
        Answers all other requests, which read tables.
    is_ready : Callable
        Returns whether this VM serves callers.
    """

    reach: EngineReach
    serve_forwarded: ServeForwarded
    relay: Answer
    is_ready: Callable[[], bool]
    log: DecisionLog

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of another router."""
        try:
            attempts_left = forwarded_attempts(request.headers)
        except MalformedForwarding as error:
            return self._refuse(error)
        if attempts_left is not None:
            return await self.serve_forwarded(request, attempts_left)
        if request.path == REACH_PATH:
            return web.Response(status=self._status())
        return await self.relay(request)

    def _refuse(self, error: RudderError) -> web.Response:
        self.log.note('forwarding_refused', code=error.code, reason=str(error))
        response = error_response(error, '')
        mark_not_run(response.headers, has_arrived=False)
        return response

    def _status(self) -> int:
        if not self.is_ready():
            return STOPPING
        return CUT_OFF if self.reach.is_cut_off else HTTPStatus.OK
