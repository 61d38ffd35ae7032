"""The operators' view of suspects, and their override."""

from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp import web

from ..request.isolation import Isolation
from .callers import json_response


@dataclass(slots=True)
class SuspectRoutes:
    """Routes of the operators' port of an entry."""

    isolation: Isolation

    def routes(self) -> Iterable[web.RouteDef]:
        """Return the routes."""
        return (
            web.get('/v1/suspects', self.show),
            web.delete('/v1/suspects/{fingerprint}', self.clear),
        )

    async def show(self, request: web.Request) -> web.Response:
        """List the contents that were running when replicas were lost."""
        return json_response(self.isolation.registry.dump())

    async def clear(self, request: web.Request) -> web.Response:
        """Let a content run again, at all entries that can be reached."""
        fingerprint = request.match_info['fingerprint']
        was_known = await self.isolation.clear(fingerprint)
        return json_response(
            {'fingerprint': fingerprint, 'was_known': was_known},
        )
