"""The active configuration of this VM."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..errors import RudderError
from ..process.decisions import DecisionLog
from ..process.platform import Row
from .model import Configuration

Decode = Callable[[Mapping[str, object]], Configuration]


def _unknown(_fields: Mapping[str, object]) -> None:
    """Return no version, so that each row is decoded."""


@dataclass(slots=True)
class ActiveConfiguration:
    """Holds the newest valid configuration; its version never decreases.

    Parameters
    ==========
    version_of : Callable
        Returns the version in a row's fields without decoding them, ``None``
        if it is not known.
    """

    decode: Decode
    log: DecisionLog
    version_of: Callable[[Mapping[str, object]], int | None] = _unknown
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
        version = self.version_of(row.fields)
        if version is not None and version <= current_version:
            return False
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
