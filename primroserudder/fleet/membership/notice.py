"""Notices: state that neighbours in the tree of routers send to each other."""

import enum
import itertools
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from ..upgrades.formats import OLDEST_NOTICE_FORMAT

# Fits a datagram into one packet on every usual network.
MAX_DATAGRAM_BYTES = 1200
# An address that can be sent to, or none.
_PORT = r'(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|\d{1,4})'
Address = Annotated[
    str, msgspec.Meta(pattern=rf'^((\d{{1,3}}\.){{3}}\d{{1,3}}:{_PORT})?$')
]
MAX_COUNT = 1_000_000
MAX_MILLI_RATE = 1_000_000_000
KEYS = 4_294_967_296
Rank = Annotated[int, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Key = Annotated[int, msgspec.Meta(ge=0, lt=KEYS)]
MilliRate = Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLI_RATE)]
Speed = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Lists longer than this are cut; a notice has room for each of them.
MAX_LISTED = 50


class Direction(enum.IntEnum):
    """Which way a notice goes in the tree."""

    TO_PARENT = 0
    TO_CHILD = 1
    # Between the representatives of two failure domains.
    TO_DOMAIN = 2
    # To a VM that may become the sender's parent, and its answer.
    QUESTION = 3
    ANSWER = 4


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What all VMs on the sender's side of a link know together.

    Parameters
    ==========
    lease_claim : str
        Token of the lease holder's last renewal; empty if unknown.
    claim_age_ms : int
        How long ago the holder stated that claim, in milliseconds.
    lease_given_up : str
        Token of a lease that a VM held and released.
    reaches_store : bool
        Whether a VM's copies of the store's tables are up to date.
    has_traffic : bool
        Whether the site has received requests.
    store_era : int
        How often the store had come back from a copy at these revisions.
    versions : dict
        Revision of the newest row that a VM has, by table of the store.
    silent_heads : tuple of int
        Keys of the group heads whose streams have all stalled.
    broken_groups : tuple of int
        Keys of the groups that the lease holder found broken.
    """

    lease_claim: str = ''
    claim_age_ms: Count = 0
    lease_given_up: str = ''
    reaches_store: bool = False
    has_traffic: bool = False
    store_era: int = 0
    versions: dict[str, int] = {}
    silent_heads: tuple[Key, ...] = ()
    broken_groups: tuple[Key, ...] = ()

    def equals_except_age(self, other: 'Facts | None') -> bool:
        """Return whether two facts differ at most in the claim's age."""
        if other is None:
            return False
        return other == msgspec.structs.replace(
            self, claim_age_ms=other.claim_age_ms
        )


class Strikes(msgspec.Struct, frozen=True, array_like=True):
    """Ids of some strikes that the sender knows, and of some void ones."""

    struck: tuple[str, ...] = ()
    void: tuple[str, ...] = ()


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """What an engine said of its limit, as a VM heard it.

    Parameters
    ==========
    rate_milli : int or None
        Requests that the engine takes in 1,000 s, ``None`` if any number.
    age_s : int
        How long ago the engine said so, in seconds, rounded up.
    """

    rate_milli: MilliRate | None = None
    age_s: Count = 0


class LoadPart(msgspec.Struct, frozen=True, array_like=True):
    """Part ``number`` of ``total`` of the requests on a side of a link.

    Explanation
    ===========
    ``running`` is the number of in-flight requests by the key of the engine,
    ``waiting`` of queued requests by the key of the pool. ``sent`` is the
    number of requests that were sent lately to engines with a limit, by the
    key of the incarnation, ``looks`` how often VMs looked for a place there.
    ``reading`` is the time to read the prompts that wait at engines, and
    ``held`` the memory that requests need there, in units of
    ``fleet/cost/outstanding.py`` and by the key of the engine; little
    of either is left out.
    Keys without requests are left out. ``limits`` are the limits that the
    sender knows. An engine is in the part given by its key modulo ``total``;
    waiting requests are in the first part, and so is the number of VMs on that
    side, ``vms``. ``cold`` is the number of VMs that know an engine as cold, by
    a key of the incarnation that ``sent`` and ``looks`` have too.
    """

    number: Count = 0
    total: Annotated[int, msgspec.Meta(ge=1)] = 1
    running: dict[Key, Count] = {}
    waiting: dict[Key, Count] = {}
    sent: dict[Key, Count] = {}
    looks: dict[Key, Count] = {}
    limits: dict[Key, LimitNews] = {}
    vms: Count = 1
    cold: dict[Key, Count] = {}
    reading: dict[Key, Count] = {}
    held: dict[Key, Count] = {}


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """A datagram from one router to another.

    Explanation
    ===========
    Fields of all structs here are appended, with defaults, and keep their
    places: builds that don't know a field skip it, and builds that don't send
    it leave its default.

    Parameters
    ==========
    incarnation : int
        Start time of the sender's process in nanoseconds.
    sequence : int
        Rises with each notice of an incarnation.
    speed : float
        Processor speed of the sender's VM, which orders the tree.
    load : LoadPart or None
        ``None`` in questions and answers.
    rank : int
        The receiver's rank in its failure domain, for a child.
    ancestors : tuple of str
        Addresses of the sender's parent, next ancestor and root.
    backup : str
        Address of the root's first child, which reads the store itself while
        the root can't.
    redirect : str
        Address of the VM that the receiver should have as its parent.
    is_leaving : bool
        Whether the sender is no child of the receiver any more.
    origin : str
        Address of the representative that sent it, for other domains.
    version : int
        Version of the sender's format; 0 of builds that don't name it.
    """

    direction: Direction
    incarnation: int
    sequence: int
    failure_domain: str
    speed: Speed = 0
    facts: Facts = Facts()
    strikes: Strikes = Strikes()
    load: LoadPart | None = None
    rank: Rank = 0
    ancestors: tuple[Address, ...] = ()
    backup: Address = ''
    redirect: Address = ''
    is_leaving: bool = False
    origin: Address = ''
    version: Count = 0


class UnreadableNotice(ValueError):
    """A datagram is no notice, or one of a version that is not read."""


_DECODER = msgspec.msgpack.Decoder(Notice)
_ENCODER = msgspec.msgpack.Encoder()


def encode_notice(notice: Notice) -> bytes:
    """Return the datagram of a notice."""
    return _ENCODER.encode(notice)


def decode_notice(packet: bytes) -> Notice:
    """Return the notice in a datagram.

    Raises
    ======
    UnreadableNotice
        The bytes are no notice, or one of a version that is too old.
    """
    try:
        notice = _DECODER.decode(packet)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UnreadableNotice(str(error)) from error
    if notice.version < OLDEST_NOTICE_FORMAT:
        raise UnreadableNotice(f'the format {notice.version} is too old')
    return notice


def merge_facts(facts: Iterable[Facts]) -> Facts:
    """Return what several sides know together.

    Examples
    ========
    >>> old = Facts(lease_claim='a/1', claim_age_ms=400)
    >>> new = Facts(lease_claim='a/2', claim_age_ms=90, has_traffic=True)
    >>> merged = merge_facts([old, new])
    >>> merged.lease_claim, merged.claim_age_ms, merged.has_traffic
    ('a/2', 90, True)
    """
    known = tuple(facts)
    claims = [each for each in known if each.lease_claim]
    claim = min(claims, key=_claim_age, default=Facts())
    era = max((each.store_era for each in known), default=0)
    return Facts(
        claim.lease_claim,
        claim.claim_age_ms,
        max((each.lease_given_up for each in known), default=''),
        any(each.reaches_store for each in known),
        any(each.has_traffic for each in known),
        era,
        _newest(each.versions for each in known if each.store_era == era),
        _union(each.silent_heads for each in known),
        _union(each.broken_groups for each in known),
    )


def _claim_age(facts: Facts) -> int:
    return facts.claim_age_ms


def _newest(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for part in parts:
        for table, version in part.items():
            newest[table] = max(version, newest.get(table, 0))
    return newest


def _union(parts: Iterable[tuple[int, ...]]) -> tuple[int, ...]:
    keys = sorted(set(itertools.chain.from_iterable(parts)))
    return tuple(keys[:MAX_LISTED])
