"""Accepts configuration versions through the platform."""

from dataclasses import dataclass

from ..errors import Ran, RudderError
from ..process.platform import (
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformClient,
    Row,
    Transaction,
    Write,
)
from .holder import Version, make_version

HEAD_KEY = 'config/head'
OBJECT_PREFIX = 'config/'


class VersionConflict(RudderError):
    """Another operator's change was accepted from the same base."""

    code = 'version_conflict'
    status = 409
    ran = Ran.NO
    default_remedy = (
        'fetch the version in force, merge the change into it and apply again'
    )


class SubmissionUnknown(RudderError):
    """The platform did not tell whether a submission was accepted."""

    code = 'submission_unknown'
    status = 503
    default_remedy = 'ask again with the same submission id'


@dataclass(frozen=True, slots=True)
class Head:
    """The head row: which version is the accepted one."""

    number: int
    digest: str
    submission: str
    revision: int


@dataclass(slots=True)
class VersionStore:
    """Reads and writes versions; the head row alone orders them."""

    platform: PlatformClient

    async def read_head(self) -> Head:
        """Return the head, numbered zero before the first version."""
        return _head(await self.platform.read(HEAD_KEY))

    async def fetch(self, digest: str) -> bytes:
        """Return the body of a version."""
        return await self.platform.get_object(f'{OBJECT_PREFIX}{digest}')

    async def accepted_number(self, submission: str) -> int | None:
        """Return the version of a submission, ``None`` if not accepted."""
        row = await self.platform.read(_submission_key(submission))
        return None if row is None else int(str(row.fields['number']))

    async def submit(self, body: bytes, base: int, submission: str) -> Version:
        """Accept a document as the successor of a base version.

        Explanation
        ===========
        The body is stored first, so that whoever reads the head finds it.
        A submission repeated under the same id is accepted once.

        Raises
        ======
        ConfigurationError
            The document is not acceptable.
        VersionConflict
            The base is no longer the head.
        SubmissionUnknown
            The answer of the platform was lost.
        """
        version = make_version(base + 1, body)
        await self.platform.put_object(
            f'{OBJECT_PREFIX}{version.digest}',
            body,
        )
        known = await self.accepted_number(submission)
        if known is not None:
            return make_version(known, body)
        head = await self.read_head()
        if head.number != base:
            raise VersionConflict(
                f'got a change of version {base}: expected one of version '
                f'{head.number}, which is in force',
            )
        await self._commit(version, head, submission)
        return version

    async def _commit(
        self,
        version: Version,
        head: Head,
        submission: str,
    ) -> None:
        fields = {'number': version.number, 'digest': version.digest}
        transaction = Transaction(
            conditions=(
                Condition(HEAD_KEY, head.revision),
                Condition(_submission_key(submission), 0),
            ),
            writes=(
                Write(HEAD_KEY, {**fields, 'submission': submission}),
                Write(_submission_key(submission), fields),
            ),
        )
        try:
            await self.platform.commit(transaction)
        except Conflict as conflict:
            await self._settle(version, submission, conflict)
        except OutcomeUnknown as unknown:
            await self._settle(version, submission, unknown)

    async def _settle(
        self,
        version: Version,
        submission: str,
        error: RudderError,
    ) -> None:
        try:
            number = await self.accepted_number(submission)
        except RudderError as unreadable:
            raise SubmissionUnknown(
                f'submission {submission}: the answer was lost',
            ) from unreadable
        if number == version.number:
            return
        raise VersionConflict(
            f'submission {submission} was not accepted as version '
            f'{version.number}: another change came first',
        ) from error


def _submission_key(submission: str) -> str:
    return f'config/submissions/{submission}'


def _head(row: Row | None) -> Head:
    if row is None:
        return Head(0, '', '', 0)
    return Head(
        number=int(str(row.fields['number'])),
        digest=str(row.fields['digest']),
        submission=str(row.fields['submission']),
        revision=row.revision,
    )
