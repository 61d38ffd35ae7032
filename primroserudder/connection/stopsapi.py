"""The operators' port: planned stops and roll-outs."""

import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import Ran, RudderError
from ..process.membership import Node
from ..process.platform import PlatformClient
from ..process.rolloutrows import ROLLOUT_PREFIX, RolloutControl
from ..process.settings import Identifier, describe
from ..process.stopplanner import PlannedStop, StopPlanner, StopRequest
from ..process.stops import Stop, StopKind, stop_to_fields
from ..version.holder import VersionHolder
from .callers import json_response


class BadStop(RudderError):
    """The order for a stop or a roll-out is not acceptable."""

    code = 'bad_stop'
    status = 422
    ran = Ran.NO
    default_remedy = 'correct the order and give it again'


class StopOrder(BaseModel):
    """A stop as an operator orders it."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    stop_id: Identifier = Field(default_factory=lambda: uuid.uuid4().hex)
    kind: StopKind
    target: str = Field(min_length=1)
    accepts_loss: bool = False
    is_trial: bool = False


class RolloutOrder(BaseModel):
    """How a roll-out shall go on."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    is_halted: bool = False
    is_in_place: bool = False


@dataclass(slots=True)
class StopsApi:
    """Handles operators' orders for stops and roll-outs."""

    desk: StopPlanner
    rollouts: RolloutControl

    def routes(self) -> Sequence[web.RouteDef]:
        """Return the routes for the operators' port."""
        return [
            web.get('/v1/stops', self.listed),
            web.post('/v1/stops', self.plan),
            web.delete('/v1/stops/{id}', self.cancel),
            web.get('/v1/rollouts', self.rollout_rows),
            web.post('/v1/rollouts/{domain}/{deployment}', self.steer),
        ]

    async def listed(self, request: web.Request) -> web.Response:
        """Return all stops."""
        stops = await self.desk.stops()
        return json_response([stop_to_fields(stop) for stop in stops])

    async def plan(self, request: web.Request) -> web.Response:
        """Plan a stop, or only tell its effect."""
        try:
            order = StopOrder.model_validate_json(await request.read())
        except ValidationError as invalid:
            raise BadStop(f'stop: {describe(invalid)}') from invalid
        wanted = StopRequest(
            order.stop_id,
            order.kind,
            order.target,
            order.accepts_loss,
        )
        planned = await self.desk.plan(wanted, is_trial=order.is_trial)
        return json_response(_shown(planned))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel or end a stop."""
        stop = await self.desk.cancel(request.match_info['id'])
        return json_response(_stop(stop))

    async def rollout_rows(self, request: web.Request) -> web.Response:
        """Return the roll-outs that were halted or steered."""
        rows = await self.desk.platform.scan(ROLLOUT_PREFIX)
        return json_response([{'key': row.key, **row.fields} for row in rows])

    async def steer(self, request: web.Request) -> web.Response:
        """Halt, resume or allow a roll-out in place."""
        try:
            order = RolloutOrder.model_validate_json(await request.read())
        except ValidationError as invalid:
            raise BadStop(f'roll-out: {describe(invalid)}') from invalid
        fields = await self.rollouts.set_flags(
            request.match_info['domain'],
            request.match_info['deployment'],
            is_halted=order.is_halted,
            is_in_place=order.is_in_place,
        )
        return json_response(fields)


def make_stops_api(
    platform: PlatformClient,
    holder: VersionHolder,
    nodes: Callable[[], Iterable[Node]],
) -> StopsApi:
    """Return the part of the operators' port of one process."""
    return StopsApi(
        StopPlanner(platform, nodes),
        RolloutControl(platform, holder),
    )


def _stop(stop: Stop) -> object:
    return stop_to_fields(stop)


def _shown(planned: PlannedStop) -> object:
    effect = planned.effect
    return {
        'stop': _stop(planned.stop),
        'effect': {**asdict(effect), 'lost': effect.lost},
    }
