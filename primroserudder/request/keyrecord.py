"""The record of an idempotency key in the platform's table."""

import base64
import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from ..errors import Ran
from ..process.platform import JsonObject, Row
from .answer import AnswerHead, StoredAnswer

KEY_PREFIX = 'keys/'


class KeyState(enum.StrEnum):
    """The state of the only attempt of a key."""

    STARTED = 'started'
    DONE = 'done'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The entry that runs the attempt of a key."""

    node_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The only attempt that a key allows.

    Explanation
    ===========
    ``claim`` is unique to the attempt, so that its owner can identify its own
    record if the response to the write is lost. ``epoch`` is the number of
    the table's epoch at the claim; it determines when the record may be
    removed.
    """

    row_key: str
    workspace: str
    digest: str
    claim: str
    owner: KeyOwner
    epoch: int
    state: KeyState = KeyState.STARTED
    ran: Ran = Ran.UNKNOWN
    answer: StoredAnswer | None = None


def row_key(workspace: str, key: str) -> str:
    """Return the row key of a record; it differs between workspaces.

    Examples
    ========
    >>> row_key('yard', 'k1') == row_key('yard-k', '1')
    False
    """
    name_bytes = f'{workspace}\0{key}'.encode()
    digest = hashlib.sha256(name_bytes).hexdigest()
    return f'{KEY_PREFIX}{digest}'


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest that identifies a request among those of one key."""
    head = f'{method}\0{target}\0'.encode()
    return hashlib.sha256(head + body).hexdigest()


def record_to_fields(record: KeyRecord) -> JsonObject:
    """Return a record as the fields of its row."""
    return {
        'workspace': record.workspace,
        'digest': record.digest,
        'claim': record.claim,
        'node_id': record.owner.node_id,
        'incarnation': record.owner.incarnation,
        'epoch': record.epoch,
        'state': record.state.value,
        'ran': record.ran.value,
        'answer': _answer_to_fields(record.answer),
    }


def record_from_row(row: Row) -> KeyRecord:
    """Return the record that a row holds."""
    fields = row.fields
    return KeyRecord(
        row_key=row.key,
        workspace=str(fields['workspace']),
        digest=str(fields['digest']),
        claim=str(fields['claim']),
        owner=KeyOwner(str(fields['node_id']), str(fields['incarnation'])),
        epoch=row_epoch(row),
        state=KeyState(str(fields['state'])),
        ran=Ran(str(fields['ran'])),
        answer=_answer_from_fields(fields['answer']),
    )


def row_epoch(row: Row) -> int:
    """Return the epoch in which a row was claimed."""
    return int(str(row.fields['epoch']))


def _answer_to_fields(answer: StoredAnswer | None) -> JsonObject | None:
    if answer is None:
        return None
    return {
        'status': answer.head.status,
        # The HTTP library represents header names as a subclass of str,
        # which is converted to a plain str here.
        'headers': {
            str(name): str(value) for name, value in answer.head.headers.items()
        },
        'body': base64.b64encode(answer.body).decode(),
    }


def _answer_from_fields(fields: object) -> StoredAnswer | None:
    if not isinstance(fields, Mapping):
        return None
    headers = {
        str(name): str(value) for name, value in fields['headers'].items()
    }
    head = AnswerHead(int(fields['status']), headers)
    return StoredAnswer(head, base64.b64decode(fields['body']))
