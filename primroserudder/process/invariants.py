"""Invariants that the program checks at run time."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from loguru import logger

from ..errors import InvariantViolation
from .metrics import Metrics


@dataclass(slots=True)
class Invariants:
    """Counts violations, logs each invariant once and raises an error."""

    metrics: Metrics
    details_by_name: dict[str, str] = field(default_factory=dict)

    def require(self, holds: bool, name: str, detail: str) -> None:
        """Raise an error unless the invariant holds.

        Raises
        ======
        InvariantViolation
            The invariant does not hold.
        """
        if holds:
            return
        self.metrics.count('invariant_violations', invariant=name)
        if name not in self.details_by_name:
            logger.error('invariant {} violated: {}', name, detail)
        self.details_by_name[name] = detail
        raise InvariantViolation(f'invariant {name} violated: {detail}')

    def dump(self) -> Mapping[str, str]:
        """Return the detail of the last violation of each invariant."""
        return dict(self.details_by_name)
