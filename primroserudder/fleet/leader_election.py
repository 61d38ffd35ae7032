"""Who holds the site's lease, as this VM sees it."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from .notice import Notice

LEASE_LIFETIME_S = 2.0
LEASE_RENEWAL_S = 0.6
# A holder tells of itself more often, so that nobody need ask the store.
HOLDER_SILENT_S = 0.9
CANDIDATE_INTERVAL_S = 0.3
# A renewal that failed is tried again after this time.
RENEWAL_RETRY_S = 0.2
# A holder whose renewals fail for so long lets others try.
GIVE_UP_AFTER_S = 0.5


class LivingPeers(Protocol):
    """What the exchange knows of the other VMs."""

    def living(self) -> Iterable[Notice]:
        """Return the notices of those who were heard lately."""

    def neighbours_before(self) -> Sequence[str]:
        """Return the domain's living VMs that come before this one."""


@dataclass(slots=True)
class LeaderElection:
    """Renews the lease, or takes it once its holder is silent.

    Explanation
    ===========
    Candidates learn of renewals from notices and read the store only when
    these end: the first VM of each failure domain often, the others the more
    seldom the further down they stand. A holder that the store fails while
    it answers others gives its lease up.
    """

    lease: Lease
    clock: Clock
    log: DecisionLog
    wake: asyncio.Event
    others: LivingPeers
    heard_at: float = float('-inf')

    async def run(self) -> None:
        """Hold or watch the lease until cancelled."""
        while True:
            was_held = self.lease.is_held()
            if was_held or not self._hears_holder():
                await self.lease.renew()
            is_held = self.lease.is_held()
            if was_held != is_held:
                fencing = self.lease.fencing
                self.log.note('lease', held=is_held, fencing=fencing)
                self.wake.set()
            self._check_reach()
            await asyncio.sleep(self._pause_s())

    def on_notice(self, notice: Notice) -> None:
        """Note a renewal or the end of a tenure that a notice tells of."""
        if notice.lease_given_up:
            self.lease.claim_expiry.note_given_up(notice.lease_given_up)
            self.heard_at = float('-inf')
        if notice.lease_claim:
            self.heard_at = self.clock.monotonic()
            self.lease.claim_expiry.note_claim(notice.lease_claim)

    def _hears_holder(self) -> bool:
        return self.clock.monotonic() - self.heard_at < HOLDER_SILENT_S

    def _pause_s(self) -> float:
        if not self.lease.is_held():
            rank = len(self.others.neighbours_before())
            return CANDIDATE_INTERVAL_S * (1 + rank)
        is_failing = self.lease.failing_since is not None
        return RENEWAL_RETRY_S if is_failing else LEASE_RENEWAL_S

    def _check_reach(self) -> None:
        """Give the lease up if the store fails this VM but not the others."""
        if not self.lease.is_held():
            return
        if not self.lease.has_failed_for(GIVE_UP_AFTER_S):
            return
        if any(notice.reaches_store for notice in self.others.living()):
            self.lease.give_up()
            self.log.note('lease_given_up', fencing=self.lease.fencing)
            self.wake.set()
