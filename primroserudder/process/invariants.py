"""Invariants asserted inside the program."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from loguru import logger

from ..errors import InvariantViolation
from .metrics import Metrics


@dataclass(slots=True)
class Invariants:
    """Counts violations, logs each kind once and stops the action."""

    metrics: Metrics
    details_by_name: dict[str, str] = field(default_factory=dict)

    def require(self, holds: bool, name: str, detail: str) -> None:
        """Stop the action unless the invariant holds.

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
        """Return the last violation of each kind."""
        return dict(self.details_by_name)
