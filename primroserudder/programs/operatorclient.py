"""Calls the operators' port of a process."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from ..errors import RudderError

# A submission repeats what the platform does not answer for about 12 s.
CALL_TIMEOUT_S = 30

UNDECIDED_CODES = frozenset(
    ('submission_unknown', 'stop_undecided', 'platform_outcome_unknown'),
)


class ProcessUnreachable(RudderError):
    """The process gave no answer."""

    code = 'process_unreachable'
    status = 503
    default_remedy = 'check --url and that the process runs'


class Refused(RudderError):
    """The process refused what was asked."""

    code = 'refused'
    status = 400

    def __init__(self, problem: Mapping[str, Any]) -> None:
        """Take over the problem that the process sent."""
        super().__init__(
            str(problem.get('detail', 'the process refused')),
            remedy=str(problem.get('remedy', '')),
        )
        self.problem = problem
        self.told_code = str(problem.get('code', self.code))

    @property
    def is_undecided(self) -> bool:
        """Return whether the order may have taken effect all the same."""
        return self.told_code in UNDECIDED_CODES


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """One process's operators' port."""

    session: aiohttp.ClientSession
    url: str
    token: str

    async def get(self, path: str) -> Any:
        """Return the JSON answer to a question."""
        return await self._call('GET', path, None)

    async def post(self, path: str, body: bytes) -> Any:
        """Return the JSON answer to an order."""
        return await self._call('POST', path, body)

    async def delete(self, path: str) -> Any:
        """Return the JSON answer to a removal."""
        return await self._call('DELETE', path, None)

    async def _call(self, method: str, path: str, body: bytes | None) -> Any:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.request(
                method,
                f'{self.url}{path}',
                data=body,
                headers={'Authorization': f'Bearer {self.token}'},
                timeout=timeout,
            ) as response:
                return await _answer(response)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise ProcessUnreachable(
                f'{self.url}: {type(error).__name__}',
            ) from error


async def _answer(response: aiohttp.ClientResponse) -> Any:
    answer = await response.read()
    if response.status != HTTPStatus.OK:
        raise Refused(_problem(answer))
    try:
        return orjson.loads(answer)
    except orjson.JSONDecodeError as error:
        raise ProcessUnreachable(
            f'{response.url}: got an answer that is not JSON',
            remedy="check that --url names the operators' port",
        ) from error


def _problem(answer: bytes) -> Mapping[str, Any]:
    try:
        problem = orjson.loads(answer)
    except orjson.JSONDecodeError:
        return {'detail': answer.decode(errors='replace')}
    return problem if isinstance(problem, dict) else {'detail': str(problem)}
