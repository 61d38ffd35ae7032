"""What a VM of a model needs to follow tables and to relay them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from ..fleet.relaying import RelayedTableSource, TableRelay
from ..fleet.site_view import SiteView
from ..process.clock import LoopClock
from ..process.decisions import DecisionLog
from ..process.tables import TableSource

FEED_PAUSE_S = 0.3


class SilentLog(DecisionLog):
    """Writes nothing."""

    def note(self, decision: str, **inputs: object) -> None:
        """Count the line."""
        self.written += 1


@dataclass(slots=True)
class TableCopies:
    """The parts of a router that read and relay tables.

    Parameters
    ==========
    session : object
        Sends requests to other VMs as a client session does.
    """

    store: TableSource
    session: object
    relays: Callable[[], Sequence[str]]
    on_change: Callable[[], None]
    clock: LoopClock = field(default_factory=LoopClock)
    log: SilentLog = field(init=False)
    tables: RelayedTableSource = field(init=False)
    view: SiteView = field(init=False)
    relay: TableRelay = field(init=False)

    def __post_init__(self) -> None:
        """Put the parts together as a router does."""
        self.log = SilentLog('vm', self.clock)
        self.tables = RelayedTableSource(
            self.store,
            cast(Any, self.session),
            self.clock,
            self.log,
            self.relays,
        )
        self.view = SiteView(
            self.tables,
            self.clock,
            self.log,
            lambda: FEED_PAUSE_S,
            self.on_change,
            lambda: True,
        )
        self.relay = TableRelay(
            self.view.followers_by_table,
            self.clock,
            lambda: self.tables.source_changed_at,
            self.tables.client.heard_at,
            self.tables.client.history,
        )
