"""Errors of requests with an idempotency key.

Explanation
===========
``ran`` applies to the key, not only to the refused attempt: if an earlier
attempt may have run at another entry, ``ran`` is ``unknown``, even though the
refused attempt reached no upstream.
"""

from http import HTTPStatus

from ..errors import Ran, RudderError

SAME_KEY_REMEDY = 'repeat with the same key and the same body'
LOOK_UP_REMEDY = 'have an operator look up the key: rudderctl key show'


class BadKey(RudderError):
    """The key is malformed, forged or minted for another workspace."""

    code = 'bad_idempotency_key'
    status = HTTPStatus.BAD_REQUEST
    ran = Ran.NO
    default_remedy = (
        'send 1 to 1024 printable ASCII characters, or a minted key'
    )


class KeyReused(RudderError):
    """The key was already used for another request."""

    code = 'key_reused'
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    default_remedy = 'use a new key for each request; keep the body unchanged'


class KeyInProgress(RudderError):
    """An earlier attempt with the key has not finished."""

    code = 'key_in_progress'
    status = HTTPStatus.CONFLICT
    default_remedy = SAME_KEY_REMEDY


class MayHaveRun(RudderError):
    """An earlier attempt began, and its outcome is unknown."""

    code = 'may_have_run'
    status = HTTPStatus.CONFLICT
    default_remedy = LOOK_UP_REMEDY


class AlreadyRan(RudderError):
    """An earlier attempt ran, and its answer was not kept."""

    code = 'already_ran'
    status = HTTPStatus.CONFLICT
    ran = Ran.YES
    default_remedy = 'do not repeat the request; its answer is not available'


class KeyNotChecked(RudderError):
    """The platform could not be asked whether the key was used before."""

    code = 'key_not_checked'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    default_remedy = SAME_KEY_REMEDY


class KeyOwnerUnreachable(RudderError):
    """The entry that minted the key is unreachable from this entry."""

    code = 'key_owner_unreachable'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    default_remedy = SAME_KEY_REMEDY


class KeyExpired(RudderError):
    """The key is older than the time for which its record is kept."""

    code = 'key_expired'
    status = HTTPStatus.CONFLICT
    default_remedy = LOOK_UP_REMEDY


class KeyMemoryFull(RudderError):
    """The entry has no room for another key record; the key has not run."""

    code = 'key_memory_full'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO
    default_remedy = SAME_KEY_REMEDY
