"""Client of the operators' port of a process."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from ..errors import RudderError

# While the platform does not answer, a submission retries for about 12 s, so
# the timeout must be longer.
CALL_TIMEOUT_S = 30

OUTCOME_UNKNOWN_CODES = frozenset(
    ('submission_unknown', 'stop_undecided', 'platform_outcome_unknown'),
)


class ProcessUnreachable(RudderError):
    """The process did not answer."""

    code = 'process_unreachable'
    status = 503
    default_remedy = 'check --url and that the process runs'


class Refused(RudderError):
    """The process refused the request."""

    code = 'refused'
    status = 400

    def __init__(self, problem: Mapping[str, Any]) -> None:
        """Initialise the error from the problem document of the process."""
        super().__init__(
            str(problem.get('detail', 'the process refused the request')),
            remedy=str(problem.get('remedy', '')),
        )
        self.problem = problem
        self.reported_code = str(problem.get('code', self.code))

    @property
    def is_outcome_unknown(self) -> bool:
        """Return whether the request may have taken effect nevertheless."""
        return self.reported_code in OUTCOME_UNKNOWN_CODES


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Sends requests to the operators' port of one process."""

    session: aiohttp.ClientSession
    url: str
    token: str

    async def get(self, path: str) -> Any:
        """Return the JSON answer to a GET request."""
        return await self._call('GET', path, None)

    async def post(self, path: str, body: bytes) -> Any:
        """Return the JSON answer to a POST request."""
        return await self._call('POST', path, body)

    async def delete(self, path: str) -> Any:
        """Return the JSON answer to a DELETE request."""
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
                return await _read_answer(response)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise ProcessUnreachable(
                f'{self.url}: {type(error).__name__}',
            ) from error


async def _read_answer(response: aiohttp.ClientResponse) -> Any:
    answer = await response.read()
    if response.status != HTTPStatus.OK:
        raise Refused(_parse_problem(answer))
    try:
        return orjson.loads(answer)
    except orjson.JSONDecodeError as error:
        raise ProcessUnreachable(
            f'{response.url}: the answer is not JSON',
            remedy="check that --url names the operators' port",
        ) from error


def _parse_problem(answer: bytes) -> Mapping[str, Any]:
    try:
        problem = orjson.loads(answer)
    except orjson.JSONDecodeError:
        return {'detail': answer.decode(errors='replace')}
    return problem if isinstance(problem, dict) else {'detail': str(problem)}
