"""Client of the platform's HTTP protocol.

Explanation
===========
Only this module and the stand-in platform depend on the wire format.
"""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import orjson
from pydantic import BaseModel, ValidationError

from ..httpclient import read_bounded
from ..process.platform import (
    Conflict,
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    Row,
    Transaction,
    VmListing,
)
from ..process.settings import describe

# A version, or all rows with a prefix.
MAX_ANSWER_BYTES = 16_777_216
_WireRow = tuple[str, int, dict[str, object]]


class _ReadAnswer(BaseModel):
    row: _WireRow | None


class _ScanAnswer(BaseModel):
    rows: list[_WireRow]


class _VmsAnswer(BaseModel):
    vms: list[VmListing]


_Answer = TypeVar('_Answer', bound=BaseModel)


@dataclass(slots=True)
class PlatformHttp:
    """Adapter for the platform's table, object store and VM list."""

    session: aiohttp.ClientSession
    url: str
    timeout_s: float

    async def read(self, key: str) -> Row | None:
        """Return the row of a key, or ``None`` if there is none."""
        received = await self._query('/table/read', {'key': key}, _ReadAnswer)
        return None if received.row is None else Row(*received.row)

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose keys begin with a prefix, ordered by key."""
        received = await self._query(
            '/table/scan', {'prefix': prefix}, _ScanAnswer
        )
        return list(itertools.starmap(Row, received.rows))

    async def commit(self, transaction: Transaction) -> None:
        """Apply the transaction.

        Raises
        ======
        Conflict
            A condition did not hold.
        PlatformUnavailable
            No connection was made, so nothing was applied.
        OutcomeUnknown
            The call failed otherwise; it may have been applied.
        """
        body = {
            'conditions': [
                [condition.key, condition.revision]
                for condition in transaction.conditions
            ],
            'writes': [
                [write.key, write.fields] for write in transaction.writes
            ],
        }
        try:
            await self._call('POST', '/table/commit', orjson.dumps(body))
        except PlatformUnavailable as error:
            if isinstance(error.__cause__, aiohttp.ClientConnectorError):
                raise
            raise OutcomeUnknown(f'commit: {error}') from error

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._call('PUT', f'/objects/{name}', body)

    async def get_object(self, name: str) -> bytes:
        """Return an object's body."""
        return await self._call('GET', f'/objects/{name}', None)

    async def list_vms(self) -> Sequence[VmListing]:
        """Return the platform's list of VMs."""
        return (await self._query('/vms', {}, _VmsAnswer)).vms

    async def _query(
        self,
        path: str,
        body: Mapping[str, object],
        model: type[_Answer],
    ) -> _Answer:
        answer = await self._call('POST', path, orjson.dumps(body))
        try:
            return model.model_validate_json(answer)
        except ValidationError as invalid:
            raise PlatformUnavailable(
                f'platform: POST {path}: {describe(invalid)}',
            ) from invalid

    async def _call(self, method: str, path: str, body: bytes | None) -> bytes:
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.request(
                method,
                f'{self.url}{path}',
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                received = await read_bounded(response, MAX_ANSWER_BYTES)
                _raise_for_status(response.status, f'platform: {method} {path}')
                return received
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise PlatformUnavailable(
                f'platform: {method} {path}: {type(error).__name__}',
            ) from error


def _raise_for_status(status: int, call: str) -> None:
    if status == HTTPStatus.OK:
        return
    if status == HTTPStatus.CONFLICT:
        raise Conflict(f'{call}: a condition did not hold')
    if status == HTTPStatus.NOT_FOUND:
        raise ObjectMissing(f'{call}: the object does not exist')
    raise PlatformUnavailable(f'{call}: got status {status}')
