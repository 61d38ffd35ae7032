"""A tenure whose claims lie in a stand-in of the platform's store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..fleet.directory import Directory
from ..fleet.tenure import Tenure
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from ..standins.tablestore import TableStore
from .platformstore import store_with_standin


@asynccontextmanager
async def tenure_on_standin(
    group_size: int = 3,
) -> AsyncIterator[tuple[TableStore, Tenure]]:
    """Run a stand-in of the store; yield it and a tenure that has begun."""
    async with store_with_standin() as (standin, store):
        clock = LoopClock()
        lease = Lease(
            store,
            clock,
            'site',
            'vm',
            order_lifetime_s=0,
            platform_era=lambda: store.era,
        )
        assert await lease.renew()
        tenure = Tenure(
            store,
            lease,
            clock,
            DecisionLog('vm', clock),
            Metrics(),
            lease.fencing,
            Directory(lambda *_: None),
            lambda _model: group_size,
        )
        await tenure.load()
        yield standin, tenure


def claimed_names(standin: TableStore) -> set[str]:
    """Return the names of the groups that the store has claims of."""
    return set(standin.rows.copy().keys_of('groups'))
