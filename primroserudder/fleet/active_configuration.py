"""The configuration in force on this VM."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..errors import RudderError
from ..process.decisions import DecisionLog
from ..process.platform import Row
from .model import Configuration

Decode = Callable[[Mapping[str, object]], Configuration]


@dataclass(slots=True)
class ActiveConfiguration:
    """Holds the newest version seen; its number only rises."""

    decode: Decode
    log: DecisionLog
    current: Configuration | None = None
    _refused_revision: int = 0

    def update(self, row: Row | None) -> bool:
        """Put a row's version in force if it is newer."""
        if row is None or row.revision == self._refused_revision:
            return False
        known = 0 if self.current is None else self.current.version
        try:
            offered = self.decode(row.fields)
        except RudderError as error:
            self._refused_revision = row.revision
            self.log.note('configuration_refused', reason=str(error))
            return False
        if self.current is not None and offered.version <= known:
            return False
        self.current = offered
        self.log.note('configuration', version=offered.version, was=known)
        return True
