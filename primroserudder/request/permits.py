"""Permits by which suspects run one at a time."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ..process.clock import Clock
from .suspects import Strike, SuspectRegistry

# A runner renews its permit each second; one that is gone loses it.
PERMIT_LIFETIME_S = 5


class PermitOutcome(enum.Enum):
    """The answer to a runner that asks for a permit."""

    REQUEST_RUNS = enum.auto()
    GROUP_TAKEN = enum.auto()
    GRANTED = enum.auto()


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A run of a suspect on a group."""

    fingerprint: str
    group_id: str
    runner: str


@dataclass(frozen=True, slots=True)
class _Permit:
    run: SuspectRun
    until: float


@dataclass(slots=True)
class PermitTable:
    """The permits that this process has given, by runner.

    Explanation
    ===========
    At most one run of a content and at most one suspect on a replica, so
    that the loss of a replica points to one content alone.
    """

    clock: Clock
    by_runner: dict[str, _Permit] = field(default_factory=dict)

    def request(self, run: SuspectRun) -> PermitOutcome:
        """Give a permit unless another runner holds one that excludes it."""
        now = self.clock.monotonic()
        others = [
            permit.run
            for runner, permit in self.by_runner.items()
            if runner != run.runner and permit.until > now
        ]
        if any(other.fingerprint == run.fingerprint for other in others):
            return PermitOutcome.REQUEST_RUNS
        if any(other.group_id == run.group_id for other in others):
            return PermitOutcome.GROUP_TAKEN
        self.by_runner[run.runner] = _Permit(run, now + PERMIT_LIFETIME_S)
        return PermitOutcome.GRANTED

    def release(self, run: SuspectRun) -> None:
        """Take a permit back."""
        self.by_runner.pop(run.runner, None)


class SuspectPeers(Protocol):
    """The other entries, as the isolation of suspects needs them."""

    async def report_strikes(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> set[str]:
        """Tell strikes; return the contents among them that run elsewhere."""

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Tell strikes to one entry."""

    async def report_cleared(self, fingerprint: str) -> None:
        """Tell that a content was cleared."""

    async def request_permit(self, run: SuspectRun) -> PermitOutcome:
        """Ask the arbiter for a permit."""

    async def release_permit(self, run: SuspectRun) -> None:
        """Give a permit back to the arbiter."""


@dataclass(slots=True)
class NoPeers:
    """An entry by itself, which is its own arbiter."""

    permits: PermitTable

    async def report_strikes(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> set[str]:
        """Tell nobody."""
        return set()

    async def report_strikes_to_one(
        self, registry: SuspectRegistry, strikes: list[Strike]
    ) -> None:
        """Tell nobody."""

    async def report_cleared(self, fingerprint: str) -> None:
        """Tell nobody."""

    async def request_permit(self, run: SuspectRun) -> PermitOutcome:
        """Ask the own table."""
        return self.permits.request(run)

    async def release_permit(self, run: SuspectRun) -> None:
        """Give the permit back to the own table."""
        self.permits.release(run)
