"""Drains groups until no entry can send requests to them any more.

Explanation
===========
The controller orders the members of a group to drain. The engines finish the
requests that they run, refuse new ones and report the drain in their status.
An entry may send to a group only on the basis of a recent status. An entry
that receives no newer status may still send until the last one expires. A
group is therefore safe to stop only when all members confirmed the drain, the
lifetime of a status and the longest send have passed since then, and reports
requested after that show no running request. This also holds for engines that
accept any request and for entries that are cut off from the controller.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import RudderError
from .claimexpiry import CLOCK_DRIFT_SHARE
from .clock import Clock
from .engines import EngineClient, EngineOrder, EngineStatus
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import GroupRecord
from .lease import Lease

ORDER_LIFETIME_S = 5
# The age of a status counts from its probe, so after this time no status from
# before the drain permits an entry to send.
SEND_PERMISSION_LIFETIME_S = EVIDENCE_LIFETIME_S * (1 + CLOCK_DRIFT_SHARE)
# The time from the check of the permission until the engine has the request.
MAX_SEND_S = 2
# An accepted request appears in the engine's load report within this time.
LOAD_REPORT_LAG_S = 2


class LeaseLost(RudderError):
    """The lease is no longer held, so this process must not send orders."""

    code = 'lease_lost'
    status = 503
    default_remedy = 'another controller acts for the failure domain'


class InFlightCounts(Protocol):
    """The requests that entries report in flight at draining groups."""

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return how many requests the entries have in flight at a group."""


@dataclass(slots=True)
class NoInFlightCounts:
    """Used where entries report no in-flight requests."""

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return zero, so that only the engines' reports decide."""
        return 0


@dataclass(slots=True)
class DrainProgress:
    """The progress of the drain of one generation of a group."""

    confirmed_at: float | None = None
    unconfirmed: frozenset[str] = frozenset()
    running: int = 0
    in_flight: int = 0


@dataclass(slots=True)
class GroupDrainer:
    """Drains groups; all times are read from the controller's clock.

    Explanation
    ===========
    The progress is not stored. A new controller starts the wait again at the
    first confirmation that it receives, which is never too early.
    """

    engines: EngineClient
    lease: Lease
    clock: Clock
    in_flight_counts: InFlightCounts = field(default_factory=NoInFlightCounts)
    progress_by_group: dict[tuple[str, int], DrainProgress] = field(
        default_factory=dict,
    )

    async def step(self, group: GroupRecord, unlisted: Collection[str]) -> bool:
        """Send the drain order again and return whether the group is safe.

        Parameters
        ==========
        unlisted : collection of str
            Members that the platform no longer lists; nothing runs on them.
        """
        requested_at = self.clock.monotonic()
        answers = await asyncio.gather(
            *(self._order(group, rank) for rank in range(len(group.members))),
        )
        unconfirmed = {
            member.vm_id
            for member, answer in zip(group.members, answers, strict=True)
            if answer is None or not answer.draining
        }
        statuses = [answer for answer in answers if answer is not None]
        progress = self._progress(group)
        progress.unconfirmed = frozenset(unconfirmed - set(unlisted))
        progress.running = sum(map(_unfinished_requests, statuses))
        progress.in_flight = self.in_flight_counts.in_flight(
            group.group_id,
            group.generation,
        )
        return self._is_safe(progress, requested_at)

    async def resume(self, group: GroupRecord) -> bool:
        """End the drain and return whether all members accept requests."""
        self.forget(group)
        answers = await asyncio.gather(
            *(
                self._order(group, rank, drain=False)
                for rank in range(len(group.members))
            ),
        )
        return all(
            answer is not None and answer.ready and not answer.draining
            for answer in answers
        )

    def retain_only(self, draining: Iterable[GroupRecord]) -> None:
        """Drop the progress of all other groups, as group ids are reused."""
        kept = {(group.group_id, group.generation) for group in draining}
        self.progress_by_group = {
            key: progress
            for key, progress in self.progress_by_group.items()
            if key in kept
        }

    def forget(self, group: GroupRecord) -> None:
        """Drop the progress of a drain that has ended."""
        self.progress_by_group.pop((group.group_id, group.generation), None)

    def dump(self) -> Mapping[str, object]:
        """Return the drains for the state dump."""
        now = self.clock.monotonic()
        return {
            group_id: {
                'generation': generation,
                'confirmed_s_ago': None
                if progress.confirmed_at is None
                else round(now - progress.confirmed_at, 3),
                'unconfirmed': sorted(progress.unconfirmed),
                'running': progress.running,
                'in_flight': progress.in_flight,
            }
            for (group_id, generation), progress in (
                self.progress_by_group.items()
            )
        }

    def _progress(self, group: GroupRecord) -> DrainProgress:
        key = (group.group_id, group.generation)
        return self.progress_by_group.setdefault(key, DrainProgress())

    def _is_safe(self, progress: DrainProgress, requested_at: float) -> bool:
        if progress.unconfirmed:
            progress.confirmed_at = None
            return False
        if progress.confirmed_at is None:
            progress.confirmed_at = self.clock.monotonic()
        expired_at = (
            progress.confirmed_at + SEND_PERMISSION_LIFETIME_S + MAX_SEND_S
        )
        if requested_at < expired_at + LOAD_REPORT_LAG_S:
            return False
        return not progress.running and not progress.in_flight

    async def _order(
        self,
        group: GroupRecord,
        rank: int,
        *,
        drain: bool = True,
    ) -> EngineStatus | None:
        order = EngineOrder(
            group_id=group.group_id,
            generation=group.generation,
            model=group.model,
            model_version=group.model_version,
            members=tuple(member.vm_id for member in group.members),
            rank=rank,
            fencing=self.lease.fencing,
            valid_for=ORDER_LIFETIME_S,
            adapters=group.adapters,
            drain=drain,
        )
        if not self.lease.is_held():
            domain = group.failure_domain
            raise LeaseLost(f'the lease of {domain} is not held')
        try:
            return await self.engines.order(group.members[rank].address, order)
        except RudderError:
            return None


def _unfinished_requests(status: EngineStatus) -> int:
    return status.load.running + status.load.waiting
