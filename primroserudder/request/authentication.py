"""Finds out which workspace a request belongs to."""

import hashlib
import hmac
from collections.abc import Mapping
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..version.document import Document, KeyHash
from ..version.holder import Version

BEARER = 'Bearer '


class Unauthenticated(RudderError):
    """The request carries no valid key."""

    code = 'invalid_api_key'
    status = HTTPStatus.UNAUTHORIZED
    ran = Ran.NO
    default_remedy = 'send Authorization: Bearer with a key in force'


def authenticate(headers: Mapping[str, str], version: Version) -> str:
    """Return the workspace that a request's key names.

    Raises
    ======
    Unauthenticated
        There is no key, or it is not one in force.
    """
    given = headers.get('Authorization', '')
    if not given.startswith(BEARER):
        raise Unauthenticated('got no bearer key')
    key_id, _, secret = given.removeprefix(BEARER).partition('.')
    document: Document = version.rendered.document
    for name, workspace in document.workspaces.items():
        key = workspace.keys.get(key_id)
        if key is not None and is_key(key, secret):
            return name
    raise Unauthenticated('got a key that is not in force')


def is_key(key: KeyHash, secret: str) -> bool:
    """Return whether a secret is the one that was hashed."""
    return hmac.compare_digest(hash_secret(key.salt, secret), key.sha256)


def hash_secret(salt: str, secret: str) -> str:
    """Return the salted hash under which a secret is kept.

    Examples
    ========
    >>> hash_secret('salt', 'secret')[:8]
    'bede9038'
    """
    return hashlib.sha256(f'{salt}{secret}'.encode()).hexdigest()
