"""Client for orders to engines and for their reports, over HTTP."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from types import MappingProxyType

import aiohttp
import orjson

from ..fleet.model import Engine, Formation
from ..httpclient import open_session, read_bounded
from . import names
from .enginelist import EngineReport, decode_report

ORDER_TIMEOUT_S = 0.5
# A report needs no slot, so the engine answers within milliseconds.
REPORT_TIMEOUT_S = 0.15
# A report lists the models of one engine; an order's answer needs no body.
MAX_ANSWER_BYTES = 262_144


class OrderOutcome(enum.StrEnum):
    """The result of an order, as derived from the response."""

    BEGUN = 'begun'
    DONE = 'done'
    UNFIT = 'unfit'
    OUTDATED = 'outdated'
    NOT_DELIVERED = 'not delivered'
    UNKNOWN = 'unknown'


_OUTCOME_BY_STATUS = MappingProxyType(
    {
        HTTPStatus.OK: OrderOutcome.DONE,
        HTTPStatus.ACCEPTED: OrderOutcome.BEGUN,
        HTTPStatus.CONFLICT: OrderOutcome.UNFIT,
        HTTPStatus.PRECONDITION_FAILED: OrderOutcome.OUTDATED,
        HTTPStatus.MISDIRECTED_REQUEST: OrderOutcome.NOT_DELIVERED,
    }
)
_REPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@dataclass(slots=True)
class EngineOrders:
    """Sends orders to engines and reads their reports.

    Parameters
    ==========
    session : ClientSession
        Reads the reports.
    order_session : ClientSession
        Sends each order on a connection of its own, as nothing in an answer
        tells to which order it belongs.
    """

    session: aiohttp.ClientSession = field(
        default_factory=lambda: open_session(ORDER_TIMEOUT_S),
    )
    order_session: aiohttp.ClientSession = field(
        default_factory=lambda: open_session(
            ORDER_TIMEOUT_S, reuses_connections=False
        ),
    )

    async def close_session(self) -> None:
        """Close the connections."""
        await self.session.close()
        await self.order_session.close()

    async def join(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Order an engine to join a group."""
        return await self._order(
            engine,
            {
                'Operation': names.JOIN,
                'group': formation.name,
                'epoch': formation.epoch,
                'Model': formation.model,
                'Members': list(formation.members),
            },
        )

    async def open(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Order a head whose members are all ready to accept requests."""
        return await self._group_order(engine, formation, names.OPEN)

    async def close(
        self,
        engine: Engine,
        formation: Formation,
        *,
        at_once: bool,
    ) -> OrderOutcome:
        """Order a head to stop accepting requests.

        Explanation
        ===========
        With ``at_once`` the head does not finish its requests first.
        """
        mode = names.CLOSE_AT_ONCE if at_once else names.CLOSE_AFTER_WORK
        return await self._group_order(
            engine, formation, names.CLOSE, {'CloseMode': mode}
        )

    async def leave(self, engine: Engine, formation: Formation) -> OrderOutcome:
        """Order a member to leave its group."""
        return await self._group_order(engine, formation, names.LEAVE)

    async def stage(self, engine: Engine, model: str) -> OrderOutcome:
        """Order an engine to load a model onto its host while it serves."""
        return await self._order(
            engine, {'Operation': names.STAGE, 'Model': model}
        )

    async def report(self, engine: Engine) -> EngineReport | None:
        """Return an engine's report, or ``None`` if there is none in time."""
        url = f'http://{engine.address}{names.REPORT_PATH}'
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                body = await read_bounded(answer, MAX_ANSWER_BYTES)
                return decode_report(orjson.loads(body))
        except _REPORT_ERRORS:
            return None

    async def accepts_connection(self, engine: Engine) -> bool:
        """Return whether an engine accepts a connection and doesn't reset it.

        Explanation
        ===========
        An engine that pauses accepts it and answers later.
        """
        url = f'http://{engine.address}{names.REPORT_PATH}'
        timeout = aiohttp.ClientTimeout(
            sock_connect=REPORT_TIMEOUT_S, sock_read=REPORT_TIMEOUT_S
        )
        try:
            async with self.session.get(url, timeout=timeout):
                return True
        except aiohttp.SocketTimeoutError:
            return True
        except _REPORT_ERRORS:
            return False

    async def _group_order(
        self,
        engine: Engine,
        formation: Formation,
        operation: str,
        extra_fields: Mapping[str, object] | None = None,
    ) -> OrderOutcome:
        fields = {
            'Operation': operation,
            'group': formation.name,
            'epoch': formation.epoch,
            **(extra_fields or {}),
        }
        return await self._order(engine, fields)

    async def _order(
        self,
        engine: Engine,
        fields: Mapping[str, object],
    ) -> OrderOutcome:
        url = f'http://{engine.address}{names.ORDER_PATH}'
        headers = {
            'Content-Type': 'application/json',
            names.EXPECT_INSTANCE: engine.engine_id,
        }
        body = orjson.dumps(fields)
        try:
            async with self.order_session.post(
                url, data=body, headers=headers
            ) as answer:
                await read_bounded(answer, MAX_ANSWER_BYTES)
                return _outcome(answer.status)
        except aiohttp.ClientConnectorError:
            return OrderOutcome.NOT_DELIVERED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderOutcome.UNKNOWN


def _outcome(status: int) -> OrderOutcome:
    return next(
        (
            outcome
            for known_status, outcome in _OUTCOME_BY_STATUS.items()
            if known_status == status
        ),
        OrderOutcome.UNFIT,
    )
