"""Permits that allow suspect requests to run one at a time."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ..process.clock import Clock
from .suspects import Strike, SuspectRegistry

# A runner renews its permit every second. The permit of a crashed runner
# expires.
PERMIT_LIFETIME_S = 5


class PermitOutcome(enum.Enum):
    """Result of a permit request."""

    REQUEST_RUNS = enum.auto()
    GROUP_TAKEN = enum.auto()
    GRANTED = enum.auto()


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """Run of a suspect request on a group by a runner."""

    fingerprint: str
    group_id: str
    runner: str


@dataclass(frozen=True, slots=True)
class _Permit:
    run: SuspectRun
    expires_at: float


@dataclass(slots=True)
class PermitTable:
    """Permits that this process has granted, by runner.

    Explanation
    ===========
    At most one run of each request content and at most one suspect on each
    replica is permitted at a time. The loss of a replica can then be
    attributed to a single content.
    """

    clock: Clock
    by_runner: dict[str, _Permit] = field(default_factory=dict)

    def request(self, run: SuspectRun) -> PermitOutcome:
        """Grant or renew a permit unless another runner's permit conflicts."""
        now = self.clock.monotonic()
        others = [
            permit.run
            for runner, permit in self.by_runner.items()
            if runner != run.runner and permit.expires_at > now
        ]
        if any(other.fingerprint == run.fingerprint for other in others):
            return PermitOutcome.REQUEST_RUNS
        if any(other.group_id == run.group_id for other in others):
            return PermitOutcome.GROUP_TAKEN
        self.by_runner[run.runner] = _Permit(run, now + PERMIT_LIFETIME_S)
        return PermitOutcome.GRANTED

    def release(self, run: SuspectRun) -> None:
        """Remove the permit of a run."""
        self.by_runner.pop(run.runner, None)


class SuspectPeers(Protocol):
    """Communication with other entries about suspects and permits."""

    async def report_strikes(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> set[str]:
        """Send strikes; return the contents among them that run at peers."""

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Send strikes to a single entry."""

    async def report_cleared(self, fingerprint: str) -> None:
        """Notify peers that a content was cleared."""

    async def request_permit(self, run: SuspectRun) -> PermitOutcome:
        """Request a permit from the arbiter."""

    async def release_permit(self, run: SuspectRun) -> None:
        """Release a permit at the arbiter."""


@dataclass(slots=True)
class NoPeers:
    """Stand-in for the peers of an entry that runs alone."""

    permits: PermitTable

    async def report_strikes(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> set[str]:
        """Send no strikes, and return no contents."""
        return set()

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Do nothing, as there is no peer to send strikes to."""

    async def report_cleared(self, fingerprint: str) -> None:
        """Do nothing, as there is no peer to notify."""

    async def request_permit(self, run: SuspectRun) -> PermitOutcome:
        """Request a permit from the local table."""
        return self.permits.request(run)

    async def release_permit(self, run: SuspectRun) -> None:
        """Release a permit at the local table."""
        self.permits.release(run)
