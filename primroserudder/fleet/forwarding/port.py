"""Answers other routers at the port for traffic between routers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from .messages import CUT_OFF, REACH_PATH, STOPPING, forwarded_attempts
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

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of another router."""
        attempts_left = forwarded_attempts(request.headers)
        if attempts_left is not None:
            return await self.serve_forwarded(request, attempts_left)
        if request.path == REACH_PATH:
            return web.Response(status=self._status())
        return await self.relay(request)

    def _status(self) -> int:
        if not self.is_ready():
            return STOPPING
        return CUT_OFF if self.reach.is_cut_off else HTTPStatus.OK
