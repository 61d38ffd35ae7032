"""Routes of the operators' port for planned stops and roll-outs."""

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
    """The order for a stop or a roll-out is malformed."""

    code = 'bad_stop'
    status = 422
    ran = Ran.NO
    default_remedy = 'correct the order and give it again'


class StopOrder(BaseModel):
    """An operator's order for a stop."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    stop_id: Identifier = Field(default_factory=lambda: uuid.uuid4().hex)
    kind: StopKind
    target: str = Field(min_length=1)
    accepts_loss: bool = False
    is_trial: bool = False


class RolloutOrder(BaseModel):
    """An operator's order for the progress of a roll-out."""

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
            web.get('/v1/stops', self.list_stops),
            web.post('/v1/stops', self.plan),
            web.delete('/v1/stops/{id}', self.cancel),
            web.get('/v1/rollouts', self.list_rollouts),
            web.post('/v1/rollouts/{domain}/{deployment}', self.steer),
        ]

    async def list_stops(self, request: web.Request) -> web.Response:
        """Return all stops."""
        stops = await self.desk.stops()
        return json_response([stop_to_fields(stop) for stop in stops])

    async def plan(self, request: web.Request) -> web.Response:
        """Plan a stop, or return only its effect for a trial."""
        try:
            order = StopOrder.model_validate_json(await request.read())
        except ValidationError as invalid:
            raise BadStop(f'stop: {describe(invalid)}') from invalid
        stop_request = StopRequest(
            order.stop_id,
            order.kind,
            order.target,
            order.accepts_loss,
        )
        planned = await self.desk.plan(stop_request, is_trial=order.is_trial)
        return json_response(_planned_to_json(planned))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a stop, or end one that has begun."""
        stop = await self.desk.cancel(request.match_info['id'])
        return json_response(_stop_to_json(stop))

    async def list_rollouts(self, request: web.Request) -> web.Response:
        """Return the stored roll-out orders of operators."""
        rows = await self.desk.platform.scan(ROLLOUT_PREFIX)
        return json_response([{'key': row.key, **row.fields} for row in rows])

    async def steer(self, request: web.Request) -> web.Response:
        """Halt or resume a roll-out, or allow it to run in place."""
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
    """Return the routes for stops and roll-outs of one process."""
    return StopsApi(
        StopPlanner(platform, nodes),
        RolloutControl(platform, holder),
    )


def _stop_to_json(stop: Stop) -> object:
    return stop_to_fields(stop)


def _planned_to_json(planned: PlannedStop) -> object:
    effect = planned.effect
    return {
        'stop': _stop_to_json(planned.stop),
        'effect': {**asdict(effect), 'lost': effect.lost},
    }
