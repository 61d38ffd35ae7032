"""Accepts configuration versions through the platform."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from ..errors import Ran, RudderError
from ..process.platform import (
    Condition,
    Conflict,
    JsonObject,
    OutcomeUnknown,
    PlatformClient,
    PlatformUnavailable,
    Row,
    Transaction,
    Write,
)
from ..process.retries import retry_platform_call
from .holder import Version, make_version

HEAD_KEY = 'config/head'
OBJECT_PREFIX = 'config/'
# Older rows are removed as newer versions are accepted; a day of the largest
# site that is planned for has 17,000 changes.
HISTORY_VERSIONS = 40_000
HISTORY_DIGITS = 12


class VersionConflict(RudderError):
    """Another operator's change was accepted from the same base."""

    code = 'version_conflict'
    status = 409
    ran = Ran.NO
    default_remedy = (
        'fetch the version in force, merge the change into it and apply again'
    )


class SubmissionReused(RudderError):
    """The submission id stands for another document."""

    code = 'submission_reused'
    status = 409
    ran = Ran.NO
    default_remedy = 'apply the document under a new submission id'


class SubmissionUnknown(RudderError):
    """The platform did not tell whether a submission was accepted."""

    code = 'submission_unknown'
    status = 503
    default_remedy = 'ask again with the same submission id'


@dataclass(frozen=True, slots=True)
class Accepted:
    """A version and the submission that became it."""

    number: int
    digest: str
    submission: str


@dataclass(frozen=True, slots=True)
class Head:
    """The head row: which version is the accepted one."""

    accepted: Accepted
    revision: int

    @property
    def number(self) -> int:
        """Return the number of the accepted version."""
        return self.accepted.number

    @property
    def digest(self) -> str:
        """Return the digest of the accepted document."""
        return self.accepted.digest


@dataclass(slots=True)
class VersionStore:
    """Reads and writes versions; the head row alone orders them."""

    platform: PlatformClient

    async def read_head(self) -> Head:
        """Return the head, numbered zero before the first version."""
        row = await self.platform.read(HEAD_KEY)
        if row is None:
            return Head(Accepted(0, '', ''), 0)
        return Head(_accepted(row), row.revision)

    async def fetch(self, digest: str) -> bytes:
        """Return the body of a version."""
        return await self.platform.get_object(f'{OBJECT_PREFIX}{digest}')

    async def find_submission(self, submission: str) -> Accepted | None:
        """Return what a submission became, ``None`` if not accepted."""
        row = await self.platform.read(_submission_key(submission))
        return None if row is None else _accepted(row)

    async def history(self, limit: int) -> Sequence[Accepted]:
        """Return the last accepted versions, the newest first."""
        newest = (await self.read_head()).number
        numbers = range(newest, max(0, newest - limit), -1)
        rows = await asyncio.gather(
            *(self.platform.read(_history_key(number)) for number in numbers),
        )
        return [_accepted(row) for row in rows if row is not None]

    async def submit(self, body: bytes, base: int, submission: str) -> Version:
        """Accept a document as the successor of a base version.

        Explanation
        ===========
        The body is stored before the head names it, so that whoever reads
        the head finds it. A submission repeated under the same id is
        accepted once. The head is read before the submission's row: if the
        submission is accepted in between, the transaction conflicts and the
        row is read back.

        Raises
        ======
        ConfigurationError
            The document is not acceptable.
        VersionConflict
            The base is no longer the head.
        SubmissionReused
            The submission id stands for another document.
        SubmissionUnknown
            The answers of the platform were lost.
        """
        version = make_version(base + 1, body)
        head = await self.read_head()
        known = await self.find_submission(submission)
        if known is not None:
            return _as_accepted(known, version)
        if head.number != base:
            raise VersionConflict(
                f'got a change of version {base}: expected one of version '
                f'{head.number}, which is in force',
            )
        await self._store_body(version)
        transaction = await self._acceptance(version, head, submission)
        return await self._commit(transaction, version, submission)

    async def _store_body(self, version: Version) -> None:
        name = f'{OBJECT_PREFIX}{version.digest}'
        try:
            await retry_platform_call(
                lambda: self.platform.put_object(name, version.body)
            )
        except OutcomeUnknown as unknown:
            raise PlatformUnavailable(
                f'the document could not be stored: {unknown}',
            ) from unknown

    async def _acceptance(
        self,
        version: Version,
        head: Head,
        submission: str,
    ) -> Transaction:
        accepted = Accepted(version.number, version.digest, submission)
        fields = _fields(accepted)
        return Transaction(
            conditions=(
                Condition(HEAD_KEY, head.revision),
                Condition(_submission_key(submission), 0),
            ),
            writes=(
                Write(HEAD_KEY, fields),
                Write(_submission_key(submission), fields),
                Write(_history_key(version.number), fields),
                *await self._removals(version.number - HISTORY_VERSIONS),
            ),
        )

    async def _removals(self, number: int) -> Sequence[Write]:
        if number < 1:
            return ()
        row = await self.platform.read(_history_key(number))
        if row is None:
            return ()
        submission = _accepted(row).submission
        return (
            Write(row.key, None),
            Write(_submission_key(submission), None),
        )

    async def _commit(
        self,
        transaction: Transaction,
        version: Version,
        submission: str,
    ) -> Version:
        try:
            # Repeating it is harmless: its conditions hold only once. A read
            # alone would not do, as a slow transaction may still take effect.
            await retry_platform_call(lambda: self.platform.commit(transaction))
        except Conflict as conflict:
            return await self._settle(version, submission, conflict)
        except OutcomeUnknown as unknown:
            raise SubmissionUnknown(
                f'submission {submission}: the answers were lost',
            ) from unknown
        return version

    async def _settle(
        self,
        version: Version,
        submission: str,
        conflict: Conflict,
    ) -> Version:
        try:
            known = await retry_platform_call(
                lambda: self.find_submission(submission)
            )
        except RudderError as unreadable:
            raise SubmissionUnknown(
                f'submission {submission}: the answer was lost',
            ) from unreadable
        if known is not None:
            return _as_accepted(known, version)
        # The head has moved on for good, so that no repeat can still win.
        raise VersionConflict(
            f'submission {submission} was not accepted as version '
            f'{version.number}: another change came first',
        ) from conflict


def _as_accepted(known: Accepted, version: Version) -> Version:
    if known.digest != version.digest:
        submission = known.submission
        raise SubmissionReused(
            f'submission {submission}: got another document than the one '
            'that was accepted under this id',
        )
    return make_version(known.number, version.body)


def _submission_key(submission: str) -> str:
    return f'config/submissions/{submission}'


def _history_key(number: int) -> str:
    digits = str(number).zfill(HISTORY_DIGITS)
    return f'config/history/{digits}'


def _fields(accepted: Accepted) -> JsonObject:
    return {
        'number': accepted.number,
        'digest': accepted.digest,
        'submission': accepted.submission,
    }


def _accepted(row: Row) -> Accepted:
    return Accepted(
        number=int(str(row.fields['number'])),
        digest=str(row.fields['digest']),
        submission=str(row.fields['submission']),
    )
