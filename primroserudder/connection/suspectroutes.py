"""Operators' routes that list and clear suspects."""

from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp import web

from ..request.isolation import Isolation
from .callers import json_response


@dataclass(slots=True)
class SuspectRoutes:
    """Routes for suspects on the operators' port of an entry."""

    isolation: Isolation

    def routes(self) -> Iterable[web.RouteDef]:
        """Return the routes for the operators' port."""
        return (
            web.get('/v1/suspects', self.show),
            web.delete('/v1/suspects/{fingerprint}', self.clear),
        )

    async def show(self, request: web.Request) -> web.Response:
        """List the contents that were running when replicas were lost."""
        return json_response(self.isolation.registry.dump())

    async def clear(self, request: web.Request) -> web.Response:
        """Clear a content at all reachable entries, so that it may run."""
        fingerprint = request.match_info['fingerprint']
        was_known = await self.isolation.clear(fingerprint)
        return json_response(
            {'fingerprint': fingerprint, 'was_known': was_known},
        )
