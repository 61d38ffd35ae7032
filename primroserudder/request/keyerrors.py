"""Errors of requests with an idempotency key.

Explanation
===========
``ran`` speaks of the key, not only of one attempt with it: where an earlier
attempt may have run somewhere else it says ``unknown``, although the attempt
that is being refused reached no upstream.
"""

from http import HTTPStatus

from ..errors import Ran, RudderError

SAME_KEY_REMEDY = 'repeat with the same key and the same body'
LOOK_UP_REMEDY = 'have an operator look it up: rudderctl key show'


class BadKey(RudderError):
    """The key itself can't be used."""

    code = 'bad_idempotency_key'
    status = HTTPStatus.BAD_REQUEST
    ran = Ran.NO
    default_remedy = (
        'send 1 to 1024 printable ASCII characters, or a minted key'
    )


class KeyReused(RudderError):
    """The key belongs to another request."""

    code = 'key_reused'
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    default_remedy = 'use a new key for each request; keep the body unchanged'


class KeyInProgress(RudderError):
    """An earlier attempt with the key has not ended."""

    code = 'key_in_progress'
    status = HTTPStatus.CONFLICT
    default_remedy = SAME_KEY_REMEDY


class MayHaveRun(RudderError):
    """An earlier attempt began, and nobody knows how it ended."""

    code = 'may_have_run'
    status = HTTPStatus.CONFLICT
    default_remedy = LOOK_UP_REMEDY


class AlreadyRan(RudderError):
    """An earlier attempt ran, and its answer was not kept."""

    code = 'already_ran'
    status = HTTPStatus.CONFLICT
    ran = Ran.YES
    default_remedy = 'do not repeat it; its answer is not kept'


class KeyNotChecked(RudderError):
    """The platform did not tell whether the key was used before."""

    code = 'key_not_checked'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    default_remedy = SAME_KEY_REMEDY


class KeyOwnerUnreachable(RudderError):
    """The entry that minted the key can't be reached from here now."""

    code = 'key_owner_unreachable'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    default_remedy = SAME_KEY_REMEDY


class KeyExpired(RudderError):
    """The key is older than the time for which it is remembered."""

    code = 'key_expired'
    status = HTTPStatus.CONFLICT
    default_remedy = LOOK_UP_REMEDY


class KeyMemoryFull(RudderError):
    """The entry remembers as many keys as it may; this one has not run."""

    code = 'key_memory_full'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO
    default_remedy = SAME_KEY_REMEDY
