"""Notices: state that routers send to each other several times a second."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping

from pydantic import BaseModel, ConfigDict


class Scope(enum.StrEnum):
    """Whose state a notice contains."""

    VM = 'vm'
    FAILURE_DOMAIN = 'domain'


class Notice(BaseModel):
    """The state of one VM, or of all VMs of a failure domain.

    Parameters
    ==========
    running : Mapping
        Number of in-flight requests by engine.
    waiting : Mapping
        Number of queued requests by pool.
    silent_heads : tuple of str
        Group heads whose streams have all stalled.
    broken_groups : tuple of str
        Groups that the lease holder found broken.
    lease_claim : str
        Token of the lease holder's last renewal; empty if it is stale.
    lease_given_up : str
        Token of a lease that the sender held and released.
    reaches_store : bool
        Whether the sender's copies of the store's tables are up to date.
    struck : tuple of str
        Ids of the strikes that the sender knows, see ``strikes``.
    void_strikes : tuple of str
        Ids of the strikes that the sender found void last.
    has_traffic : bool
        Whether the site has received requests since the sender started.
    versions : Mapping
        Revision of the newest row that the sender has, by table of the store.
    store_era : int
        How often the store had come back from a copy at these revisions.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    scope: Scope = Scope.VM
    node: str
    failure_domain: str = ''
    address: str
    sequence: int
    running: Mapping[str, int] = {}
    waiting: Mapping[str, int] = {}
    silent_heads: tuple[str, ...] = ()
    broken_groups: tuple[str, ...] = ()
    lease_claim: str = ''
    lease_given_up: str = ''
    reaches_store: bool = False
    struck: tuple[str, ...] = ()
    void_strikes: tuple[str, ...] = ()
    has_traffic: bool = False
    versions: Mapping[str, int] = {}
    store_era: int = 0

    def equals_except_sequence(self, other: 'Notice | None') -> bool:
        """Return whether two notices differ at most in their sequence."""
        if other is None:
            return False
        return self.model_copy(update={'sequence': other.sequence}) == other


def summarize(own: Notice, peers: Iterable[Notice]) -> Notice:
    """Return one notice that summarizes all VMs of a failure domain.

    Examples
    ========
    >>> first = Notice(node='a', address='x', sequence=1, running={'e': 1})
    >>> second = Notice(node='b', address='y', sequence=7, running={'e': 2})
    >>> summarize(first, [second]).running
    {'e': 3}
    """
    notices = (own, *peers)
    era = max(notice.store_era for notice in notices)
    return Notice(
        scope=Scope.FAILURE_DOMAIN,
        node=own.node,
        failure_domain=own.failure_domain,
        address=own.address,
        sequence=own.sequence,
        running=_sum(notice.running for notice in notices),
        waiting=_sum(notice.waiting for notice in notices),
        silent_heads=_union(notice.silent_heads for notice in notices),
        broken_groups=_union(notice.broken_groups for notice in notices),
        lease_claim=max(notice.lease_claim for notice in notices),
        lease_given_up=max(notice.lease_given_up for notice in notices),
        reaches_store=any(notice.reaches_store for notice in notices),
        struck=_union(notice.struck for notice in notices),
        void_strikes=_union(notice.void_strikes for notice in notices),
        has_traffic=any(notice.has_traffic for notice in notices),
        versions=_newest(
            notice.versions for notice in notices if notice.store_era == era
        ),
        store_era=era,
    )


def _sum(counts: Iterable[Mapping[str, int]]) -> Mapping[str, int]:
    total = Counter[str]()
    for part in counts:
        total.update(part)
    return dict(total)


def _newest(parts: Iterable[Mapping[str, int]]) -> Mapping[str, int]:
    newest: dict[str, int] = {}
    for part in parts:
        for table, version in part.items():
            newest[table] = max(version, newest.get(table, 0))
    return newest


def _union(parts: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({name for part in parts for name in part}))
