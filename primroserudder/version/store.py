"""Storage and acceptance of configuration versions on the platform."""

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
# Older history rows are removed as newer versions are accepted. The largest
# planned site makes 17,000 changes a day.
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
    """The submission id is already used for another document."""

    code = 'submission_reused'
    status = 409
    ran = Ran.NO
    default_remedy = 'apply the document under a new submission id'


class SubmissionUnknown(RudderError):
    """It is unknown whether the platform accepted a submission."""

    code = 'submission_unknown'
    status = 503
    default_remedy = 'ask again with the same submission id'


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """An accepted version and the submission that created it."""

    number: int
    digest: str
    submission: str


@dataclass(frozen=True, slots=True)
class Head:
    """The head row, which names the latest accepted version."""

    accepted: AcceptedVersion
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
    """Reads and writes versions; only the head row orders them."""

    platform: PlatformClient

    async def read_head(self) -> Head:
        """Return the head; its number is 0 before the first version."""
        row = await self.platform.read(HEAD_KEY)
        if row is None:
            return Head(AcceptedVersion(0, '', ''), 0)
        return Head(_parse_row(row), row.revision)

    async def fetch(self, digest: str) -> bytes:
        """Return the document with the given digest."""
        return await self.platform.get_object(f'{OBJECT_PREFIX}{digest}')

    async def find_submission(self, submission: str) -> AcceptedVersion | None:
        """Return the version of a submission, or ``None`` if not accepted."""
        row = await self.platform.read(_submission_key(submission))
        return None if row is None else _parse_row(row)

    async def history(self, limit: int) -> Sequence[AcceptedVersion]:
        """Return up to ``limit`` accepted versions, newest first."""
        newest = (await self.read_head()).number
        numbers = range(newest, max(0, newest - limit), -1)
        rows = await asyncio.gather(
            *(self.platform.read(_history_key(number)) for number in numbers),
        )
        return [_parse_row(row) for row in rows if row is not None]

    async def submit(self, body: bytes, base: int, submission: str) -> Version:
        """Accept a document as the successor of a base version.

        Explanation
        ===========
        The body is stored before the head refers to it, so that every reader
        of the head finds it. The submission id is an idempotency key: a
        repeated submission is accepted once. The head is read before the
        submission's row. If the submission is accepted between these reads,
        the transaction conflicts and the row is read again.

        Raises
        ======
        ConfigurationError
            The document is invalid.
        VersionConflict
            The base is not the latest accepted version.
        SubmissionReused
            The submission id is already used for another document.
        SubmissionUnknown
            The responses of the platform were lost.
        """
        version = make_version(base + 1, body)
        head = await self.read_head()
        accepted = await self.find_submission(submission)
        if accepted is not None:
            return _resubmitted_version(accepted, version)
        if head.number != base:
            raise VersionConflict(
                f'got a change based on version {base}: expected one based on '
                f'version {head.number}, which is in force',
            )
        await self._store_body(version)
        transaction = await self._make_transaction(version, head, submission)
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

    async def _make_transaction(
        self,
        version: Version,
        head: Head,
        submission: str,
    ) -> Transaction:
        accepted = AcceptedVersion(version.number, version.digest, submission)
        fields = _row_fields(accepted)
        return Transaction(
            conditions=(
                Condition(HEAD_KEY, head.revision),
                Condition(_submission_key(submission), 0),
            ),
            writes=(
                Write(HEAD_KEY, fields),
                Write(_submission_key(submission), fields),
                Write(_history_key(version.number), fields),
                *await self._history_removals(
                    version.number - HISTORY_VERSIONS
                ),
            ),
        )

    async def _history_removals(self, number: int) -> Sequence[Write]:
        if number < 1:
            return ()
        row = await self.platform.read(_history_key(number))
        if row is None:
            return ()
        submission = _parse_row(row).submission
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
            # A retry is safe, because the conditions hold only once. A read
            # is not enough, because a slow transaction may still commit.
            await retry_platform_call(lambda: self.platform.commit(transaction))
        except Conflict as conflict:
            return await self._resolve_conflict(version, submission, conflict)
        except OutcomeUnknown as unknown:
            raise SubmissionUnknown(
                f'submission {submission}: all responses were lost',
            ) from unknown
        return version

    async def _resolve_conflict(
        self,
        version: Version,
        submission: str,
        conflict: Conflict,
    ) -> Version:
        try:
            accepted = await retry_platform_call(
                lambda: self.find_submission(submission)
            )
        except RudderError as unreadable:
            raise SubmissionUnknown(
                f'submission {submission}: the response was lost',
            ) from unreadable
        if accepted is not None:
            return _resubmitted_version(accepted, version)
        # The head has changed for good, so no retry can still succeed.
        raise VersionConflict(
            f'submission {submission} was not accepted as version '
            f'{version.number}: another change was accepted first',
        ) from conflict


def _resubmitted_version(
    accepted: AcceptedVersion, version: Version
) -> Version:
    if accepted.digest != version.digest:
        submission = accepted.submission
        raise SubmissionReused(
            f'submission {submission}: got a document that differs from the '
            'one that was accepted under this id',
        )
    return make_version(accepted.number, version.body)


def _submission_key(submission: str) -> str:
    return f'config/submissions/{submission}'


def _history_key(number: int) -> str:
    digits = str(number).zfill(HISTORY_DIGITS)
    return f'config/history/{digits}'


def _row_fields(accepted: AcceptedVersion) -> JsonObject:
    return {
        'number': accepted.number,
        'digest': accepted.digest,
        'submission': accepted.submission,
    }


def _parse_row(row: Row) -> AcceptedVersion:
    return AcceptedVersion(
        number=int(str(row.fields['number'])),
        digest=str(row.fields['digest']),
        submission=str(row.fields['submission']),
    )
