"""The active configuration of this VM."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..errors import RudderError
from ..process.decisions import DecisionLog
from ..process.platform import Row
from .model import Configuration

Decode = Callable[[Mapping[str, object]], Configuration]


@dataclass(slots=True)
class ActiveConfiguration:
    """Holds the newest valid configuration; its version never decreases."""

    decode: Decode
    log: DecisionLog
    current: Configuration | None = None
    _refused_row: Row | None = None

    @property
    def current_version(self) -> int:
        """Return the version of the active configuration, zero for none."""
        return 0 if self.current is None else self.current.version

    def update(self, row: Row | None) -> bool:
        """Activate the version in a row if it is newer than the current one.

        Explanation
        ===========
        Returns whether it was activated. A row that can't be decoded is
        logged once and ignored.
        """
        if row is None or row == self._refused_row:
            return False
        current_version = self.current_version
        try:
            decoded = self.decode(row.fields)
        except RudderError as error:
            self._refused_row = row
            self.log.note('configuration_refused', reason=str(error))
            return False
        if self.current is not None and decoded.version <= current_version:
            return False
        self.current = decoded
        self.log.note(
            'configuration', version=decoded.version, was=current_version
        )
        for name in decoded.unreadable_regions:
            self.log.note(
                'regions_malformed', name=name, version=decoded.version
            )
        return True
