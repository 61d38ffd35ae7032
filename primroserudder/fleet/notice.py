"""What routers tell each other, several times a second."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping

from pydantic import BaseModel, ConfigDict


class Scope(enum.StrEnum):
    """Whom a notice speaks for."""

    VM = 'vm'
    FAILURE_DOMAIN = 'domain'


class Notice(BaseModel):
    """The state of one VM, or of all VMs of a failure domain.

    Parameters
    ==========
    running : Mapping
        Requests under way, by engine.
    waiting : Mapping
        Requests that wait, by pool.
    silent_heads : tuple of str
        Engines whose streams all stand still.
    broken_groups : tuple of str
        Groups that the lease's holder found broken.
    lease_claim : str
        The mark of the holder's last renewal, as far as it is fresh.
    lease_given_up : str
        The mark of a lease that the sender held and gave up.
    reaches_store : bool
        Whether the sender's tables are up to date.
    struck : tuple of str
        Contents that were running when groups were lost.
    versions : Mapping
        The newest row that the sender knows of each of the store's tables.
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
    has_traffic: bool = False
    versions: Mapping[str, int] = {}

    def equals_except_sequence(self, other: 'Notice | None') -> bool:
        """Return whether nothing but the sequence differs."""
        if other is None:
            return False
        return self.model_copy(update={'sequence': other.sequence}) == other


def summarize(own: Notice, peers: Iterable[Notice]) -> Notice:
    """Return what all VMs of a failure domain have to tell together.

    Examples
    ========
    >>> first = Notice(node='a', address='x', sequence=1, running={'e': 1})
    >>> second = Notice(node='b', address='y', sequence=7, running={'e': 2})
    >>> summarize(first, [second]).running
    {'e': 3}
    """
    notices = (own, *peers)
    return Notice(
        scope=Scope.FAILURE_DOMAIN,
        node=own.node,
        failure_domain=own.failure_domain,
        address=own.address,
        sequence=own.sequence,
        running=_sum(one.running for one in notices),
        waiting=_sum(one.waiting for one in notices),
        silent_heads=_union(one.silent_heads for one in notices),
        broken_groups=_union(one.broken_groups for one in notices),
        lease_claim=max(one.lease_claim for one in notices),
        lease_given_up=max(one.lease_given_up for one in notices),
        reaches_store=any(one.reaches_store for one in notices),
        struck=_union(one.struck for one in notices),
        has_traffic=any(one.has_traffic for one in notices),
        versions=_newest(one.versions for one in notices),
    )


def _sum(counts: Iterable[Mapping[str, int]]) -> Mapping[str, int]:
    total = Counter[str]()
    for one in counts:
        total.update(one)
    return dict(total)


def _newest(parts: Iterable[Mapping[str, int]]) -> Mapping[str, int]:
    newest: dict[str, int] = {}
    for part in parts:
        for table, version in part.items():
            newest[table] = max(version, newest.get(table, 0))
    return newest


def _union(parts: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({one for part in parts for one in part}))
