"""Authentication of a request by its API key."""

import hashlib
import hmac
from collections.abc import Mapping
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..version.document import Document, KeyHash
from ..version.holder import Version

BEARER_PREFIX = 'Bearer '


class Unauthenticated(RudderError):
    """The request carries no valid key."""

    code = 'invalid_api_key'
    status = HTTPStatus.UNAUTHORIZED
    ran = Ran.NO
    default_remedy = 'send Authorization: Bearer with a key in force'


def authenticate(headers: Mapping[str, str], version: Version) -> str:
    """Return the name of the workspace that owns the request's API key.

    Raises
    ======
    Unauthenticated
        The request has no bearer key, or the key is not valid.
    """
    header = headers.get('Authorization', '')
    if not header.startswith(BEARER_PREFIX):
        raise Unauthenticated('the request has no bearer key')
    key_id, _, secret = header.removeprefix(BEARER_PREFIX).partition('.')
    document: Document = version.rendered.document
    for name, workspace in document.workspaces.items():
        key = workspace.keys.get(key_id)
        if key is not None and is_matching_secret(key, secret):
            return name
    raise Unauthenticated('the API key is not valid')


def is_matching_secret(key: KeyHash, secret: str) -> bool:
    """Return whether a secret matches a stored hash, in constant time."""
    return hmac.compare_digest(hash_secret(key.salt, secret), key.sha256)


def hash_secret(salt: str, secret: str) -> str:
    """Return the salted SHA-256 of a secret, in hexadecimal.

    Examples
    ========
    >>> hash_secret('salt', 'secret')[:8]
    'bede9038'
    """
    return hashlib.sha256(f'{salt}{secret}'.encode()).hexdigest()
