"""This VM's view of the site: configuration and listed engines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..platform import (
    ConfigurationDecoder,
    configuration_version,
    decode_engine,
    decode_evacuations,
    engine_row_age,
)
from ..platform.names import (
    CONFIGURATION_KEY,
    ENGINES_TABLE,
    OPERATOR_TABLE,
)
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.tables import TableFollower, TableSource
from .active_configuration import ActiveConfiguration
from .crashes.strikestore import STRIKES_TABLE
from .directory import Directory
from .enginelimits import ColdEngines, ColdServices
from .evacuation import Evacuations
from .model import Configuration

# Long-poll time. A source that stops answering is detected after this time and
# the call's slack; a configuration change must reach all VMs in two seconds.
FEED_WAIT_S = 0.9
# Router addresses may arrive later than the other tables.
NODES_WAIT_S = 5.0
# Strikes change rarely; a change is returned at once.
STRIKES_WAIT_S = 5.0
NODES_TABLE = 'nodes'
# Operators write rows of the lost seconds again this long after a restore.
OPERATOR_ROWS_KEPT_S = 4.0


@dataclass(slots=True)
class SiteView:
    """Follows the store's tables and decodes their rows."""

    source: TableSource
    clock: Clock
    log: DecisionLog
    pause_s: Callable[[], float]
    on_change: Callable[[], None]
    has_traffic: Callable[[], bool]
    cold_engines: ColdEngines = field(init=False)
    directory: Directory = field(init=False)
    active: ActiveConfiguration = field(init=False)
    evacuations: Evacuations = field(init=False)
    configurations: TableFollower = field(init=False)
    engines: TableFollower = field(init=False)
    nodes: TableFollower = field(init=False)
    strikes: TableFollower = field(init=False)

    def __post_init__(self) -> None:
        """Create the table followers."""
        self.active = ActiveConfiguration(
            ConfigurationDecoder().decode, self.log, configuration_version
        )
        self.evacuations = Evacuations(decode_evacuations, self.clock, self.log)
        self.cold_engines = ColdEngines(
            self.clock,
            self.log,
            ColdServices(self.configuration),
            self.has_traffic,
            self.evacuations.ended_at,
        )
        self.directory = Directory(decode_engine, self.cold_engines.note_entry)
        self.configurations = self._follower(OPERATOR_TABLE)
        self.configurations.rows.kept_s = OPERATOR_ROWS_KEPT_S
        # A domain that the store names is evacuated, whatever was before.
        self.configurations.rows.withheld_s = 0
        self.configurations.listeners.append(self._on_operator_rows)
        self.engines = self._follower(ENGINES_TABLE)
        self.engines.rows.age = engine_row_age
        self.engines.listeners.append(self._on_engines)
        self.nodes = self._follower(NODES_TABLE, NODES_WAIT_S)
        self.strikes = self._follower(STRIKES_TABLE, STRIKES_WAIT_S)

    @property
    def followers_by_table(self) -> Mapping[str, TableFollower]:
        """Return all followers by table, to relay them to other routers."""
        followers = (
            self.configurations,
            self.engines,
            self.nodes,
            self.strikes,
        )
        return {follower.table: follower for follower in followers}

    def configuration(self) -> Configuration | None:
        """Return the active configuration, or ``None`` before the first."""
        return self.active.current

    def is_known(self) -> bool:
        """Return whether all that a request depends on was read once."""
        if self.active.current is None:
            return False
        # The count of VMs divides the site's retry budget.
        followers = (self.engines, self.strikes, self.nodes)
        return all(follower.is_loaded for follower in followers)

    def versions(self) -> Mapping[str, int]:
        """Return the newest known revision of tables that must be fresh.

        Explanation
        ===========
        All are of the era that ``store_era`` returns.
        """
        era = self.store_era()
        return {
            follower.table: follower.rows.newest()
            for follower in (self.configurations, self.engines)
            if follower.rows.version.era == era
        }

    def store_era(self) -> int:
        """Return how often the store has come back from a copy."""
        return max(
            follower.rows.version.era
            for follower in (self.configurations, self.engines)
        )

    def _follower(
        self,
        table: str,
        wait_s: float = FEED_WAIT_S,
    ) -> TableFollower:
        return TableFollower(
            self.source,
            table,
            self.clock,
            self.log,
            wait_s,
            self.pause_s,
        )

    def _on_operator_rows(self) -> None:
        rows_by_key = self.configurations.rows_by_key
        # Comes first: a VM is ready once it has a configuration.
        are_targets_changed = self.evacuations.update(rows_by_key)
        row = rows_by_key.get(f'{OPERATOR_TABLE}/{CONFIGURATION_KEY}')
        if self.active.update(row):
            self._on_engines()
        elif are_targets_changed:
            self.on_change()

    def _on_engines(self) -> None:
        self.directory.update(self.engines.rows_by_key, self.active.current)
        if self.engines.is_loaded:
            self.cold_engines.note_list_read()
        self.on_change()
