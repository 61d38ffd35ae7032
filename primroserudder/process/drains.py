"""Drains groups until no entry can still send to them.

Explanation
===========
The controller orders the members of a leaving group to drain: engines finish
what they run and refuse new work, and their status, by which alone an entry
may send, says so. An entry that hears nothing more may send on a status that
it got just before, until its right lapses. So a group is safe only when all
members confirmed, that lifetime and the longest send have passed since, and
reports asked for after that show nothing running. This holds also for
engines that take any request, and for entries cut off from the controller.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import RudderError
from .claimends import CLOCK_DRIFT_SHARE
from .clock import Clock
from .engines import EngineClient, EngineOrder, EngineStatus
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import GroupRecord
from .lease import Lease

ORDER_LIFETIME_S = 5
# A status is as old as its probe: by then every right has lapsed.
RIGHT_LIFETIME_S = EVIDENCE_LIFETIME_S * (1 + CLOCK_DRIFT_SHARE)
# From the check of the right until the engine has the request.
LONGEST_SEND_S = 2
# An engine's report shows what it has taken after this time.
LOAD_REPORT_LAG_S = 2


class LeaseLost(RudderError):
    """The lease is no longer held, so that no order may be given."""

    code = 'lease_lost'
    status = 503
    default_remedy = 'another controller acts for the failure domain'


class Uses(Protocol):
    """What the entries tell of their requests at leaving groups."""

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return how many requests the entries have at a group."""


@dataclass(slots=True)
class NoUses:
    """Stands for entries that tell nothing."""

    def in_flight(self, group_id: str, generation: int) -> int:
        """Return zero; the engines' own reports decide."""
        return 0


@dataclass(slots=True)
class DrainProgress:
    """How far the drain of one generation of a group is."""

    confirmed_at: float | None = None
    unconfirmed: frozenset[str] = frozenset()
    running: int = 0
    in_flight: int = 0


@dataclass(slots=True)
class GroupDrainer:
    """Drains groups; all times are the controller's own.

    Explanation
    ===========
    A new controller knows nothing of the progress and waits again from its
    own first confirmation, which can only be later.
    """

    engines: EngineClient
    lease: Lease
    clock: Clock
    uses: Uses = field(default_factory=NoUses)
    progress_by_group: dict[tuple[str, int], DrainProgress] = field(
        default_factory=dict,
    )

    async def step(self, group: GroupRecord, gone: Collection[str]) -> bool:
        """Order a drain once more and return whether the group is safe.

        Parameters
        ==========
        gone : collection of str
            VMs that the platform no longer lists; nothing runs there.
        """
        asked_at = self.clock.monotonic()
        answers = await asyncio.gather(
            *(self._order(group, rank) for rank in range(len(group.members))),
        )
        missing = {
            member.vm_id
            for member, answer in zip(group.members, answers, strict=True)
            if answer is None or not answer.draining
        }
        statuses = [answer for answer in answers if answer is not None]
        progress = self._progress(group)
        progress.unconfirmed = frozenset(missing - set(gone))
        progress.running = sum(map(_work, statuses))
        progress.in_flight = self.uses.in_flight(
            group.group_id,
            group.generation,
        )
        return self._is_safe(progress, asked_at)

    async def resume(self, group: GroupRecord) -> bool:
        """Order the members to take work again; return whether all do."""
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

    def keep(self, draining: Iterable[GroupRecord]) -> None:
        """Drop the progress of all other groups; names are used again."""
        kept = {(group.group_id, group.generation) for group in draining}
        self.progress_by_group = {
            key: progress
            for key, progress in self.progress_by_group.items()
            if key in kept
        }

    def forget(self, group: GroupRecord) -> None:
        """Drop what is known of a drain that has ended."""
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

    def _is_safe(self, progress: DrainProgress, asked_at: float) -> bool:
        if progress.unconfirmed:
            progress.confirmed_at = None
            return False
        if progress.confirmed_at is None:
            progress.confirmed_at = self.clock.monotonic()
        lapsed_at = progress.confirmed_at + RIGHT_LIFETIME_S + LONGEST_SEND_S
        if asked_at < lapsed_at + LOAD_REPORT_LAG_S:
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
            raise LeaseLost(f'lease of {domain} is not held')
        try:
            return await self.engines.order(group.members[rank].address, order)
        except RudderError:
            return None


def _work(status: EngineStatus) -> int:
    return status.load.running + status.load.waiting
