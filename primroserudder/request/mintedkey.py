"""Idempotency keys minted by the system; each is bound to one entry."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

import orjson

from ..process.clock import Clock
from .keyerrors import BadKey, KeyExpired

MINTED_PREFIX = 'rk1.'
MINTED_KEY_LIFETIME_S = 3600
MAX_KEY_CHARACTERS = 1024


@dataclass(frozen=True, slots=True)
class MintedKey:
    """The content of a minted key.

    Explanation
    ===========
    ``incarnation`` identifies the only process of the entry that may run the
    request, and ``address`` is its port for peers. ``minted_at`` is in seconds
    on the monotonic clock of that process, so only that process compares it.
    """

    workspace: str
    node_id: str
    incarnation: str
    address: str
    minted_at: float
    nonce: int


@dataclass(slots=True)
class Minter:
    """Mints keys of this incarnation and parses keys of all incarnations."""

    secret: str
    node_id: str
    incarnation: str
    address: str
    clock: Clock
    minted_count: int = 0

    def mint(self, workspace: str) -> str:
        """Return a new key; nothing is stored for it."""
        self.minted_count += 1
        body = orjson.dumps(
            [
                workspace,
                self.node_id,
                self.incarnation,
                self.address,
                self.clock.monotonic(),
                self.minted_count,
            ],
        )
        text = base64.urlsafe_b64encode(body).decode()
        return f'{MINTED_PREFIX}{text}.{self._signature(text)}'

    def parse(self, text: str, workspace: str) -> MintedKey:
        """Return the content of a key.

        Raises
        ======
        BadKey
            The key was not minted by this system for this workspace.
        """
        body, _, signature = text.removeprefix(MINTED_PREFIX).rpartition('.')
        expected = self._signature(body)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            raise BadKey('the signature of the minted key does not match')
        key = MintedKey(*_decode(body))  # type: ignore[arg-type]
        if key.workspace != workspace:
            raise BadKey('the key was minted for another workspace')
        return key

    def is_own(self, key: MintedKey) -> bool:
        """Return whether this process minted the key."""
        return key.incarnation == self.incarnation

    def check_age(self, key: MintedKey) -> None:
        """Check that the record of a key of this process would still be kept.

        Raises
        ======
        KeyExpired
            The key may have been used, and its record removed.
        """
        age = self.clock.monotonic() - key.minted_at
        if age > MINTED_KEY_LIFETIME_S:
            raise KeyExpired(
                f'got a key minted {age:.0f} s ago: expected at most '
                f'{MINTED_KEY_LIFETIME_S} s',
            )

    def _signature(self, body: str) -> str:
        mac = hmac.new(self.secret.encode(), body.encode(), hashlib.sha256)
        return mac.hexdigest()


def is_minted(text: str) -> bool:
    """Return whether a key has the prefix of keys minted by the system.

    Examples
    ========
    >>> is_minted('rk1.abc.def'), is_minted('dispatch-41')
    (True, False)
    """
    return text.startswith(MINTED_PREFIX)


def check_key_format(text: str) -> None:
    """Check the length and the characters of a key.

    Raises
    ======
    BadKey
        The key is empty, longer than ``MAX_KEY_CHARACTERS``, or holds
        characters that are not printable ASCII.
    """
    is_printable = text.isascii() and text.isprintable()
    if not is_printable or not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise BadKey(
            f'got a key of {len(text)} characters: expected 1 to '
            f'{MAX_KEY_CHARACTERS} printable ASCII characters',
        )


def _decode(body: str) -> list[object]:
    try:
        return list(orjson.loads(base64.urlsafe_b64decode(body)))
    except (binascii.Error, orjson.JSONDecodeError) as error:
        raise BadKey('the minted key is malformed') from error
