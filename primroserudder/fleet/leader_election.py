"""Elects the holder of the site's lease, as seen by this VM."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from .membership import Facts

LEASE_LIFETIME_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# A holder sends notices more often than this, so that candidates need not read
# the store.
HOLDER_TIMEOUT_S = 0.9
CANDIDATE_INTERVAL_S = 0.3
# A VM of any rank competes after this many turns of the first one.
MAX_TURNS = 8
MS_PER_S = 1000
# A failed renewal is retried after this time.
RENEWAL_RETRY_S = 0.2
# A holder whose renewals fail for this long gives the lease up if a peer still
# reaches the store.
GIVE_UP_AFTER_S = 0.5


def _never() -> bool:
    return False


class LivingPeers(Protocol):
    """What the notices of the other VMs show."""

    def any_reaches_store(self) -> bool:
        """Return whether another VM reaches the store."""

    def is_settled(self) -> bool:
        """Return whether this VM has had time to hear of the others."""

    def rank(self) -> int:
        """Return this VM's position in its domain, zero for the first."""


@dataclass(slots=True)
class LeaderElection:
    """Renews the lease, or acquires it once its holder is silent.

    Explanation
    ===========
    Notices report renewals to the candidates, which read the store only if
    no notices arrive. The first VM of each failure domain, a fast one, reads
    it at once and often; each further one later and less often by its rank. A
    holder whose store calls fail while those of other VMs succeed gives the
    lease up, and so does one that reaches no engine while others do.

    Parameters
    ==========
    is_useless : Callable
        Returns whether other VMs reach engines and this one doesn't.
    """

    lease: Lease
    clock: Clock
    log: DecisionLog
    wake: asyncio.Event
    peers: LivingPeers
    is_useless: Callable[[], bool] = _never
    holder_seen_at: float = float('-inf')
    _alone_since: float | None = None
    _given_up: str = ''

    async def run(self) -> None:
        """Renew or watch the lease until cancelled."""
        while True:
            was_held = self.lease.is_held()
            if was_held or self._may_compete():
                await self.lease.renew()
            is_held = self.lease.is_held()
            if was_held != is_held:
                fencing = self.lease.fencing
                self.log.note('lease', held=is_held, fencing=fencing)
                self.wake.set()
            self._step_down_if_cut_off()
            await asyncio.sleep(self._pause_s())

    def on_facts(self, facts: Facts) -> None:
        """Record a renewal or the end of a tenure from a notice."""
        if facts.lease_given_up and facts.lease_given_up != self._given_up:
            self._given_up = facts.lease_given_up
            self.lease.claim_expiry.note_given_up(facts.lease_given_up)
            self.holder_seen_at = float('-inf')
        if facts.lease_claim:
            age_s = facts.claim_age_ms / MS_PER_S
            seen_at = self.clock.monotonic() - age_s
            self.holder_seen_at = max(self.holder_seen_at, seen_at)
            self.lease.claim_expiry.note_claim(facts.lease_claim)

    def _may_compete(self) -> bool:
        """Return whether this VM's turn to claim the lease has come."""
        if self.is_useless():
            return False
        if self._is_holder_alive() or not self.peers.is_settled():
            self._alone_since = None
            return False
        now = self.clock.monotonic()
        if self._alone_since is None:
            self._alone_since = now
        turn_s = CANDIDATE_INTERVAL_S * min(self.peers.rank(), MAX_TURNS)
        return now - self._alone_since >= turn_s

    def _is_holder_alive(self) -> bool:
        return self.clock.monotonic() - self.holder_seen_at < HOLDER_TIMEOUT_S

    def _pause_s(self) -> float:
        if not self.lease.is_held():
            is_waiting = self._alone_since is None
            rank = 0 if is_waiting else self.peers.rank()
            return CANDIDATE_INTERVAL_S * (1 + rank)
        is_failing = self.lease.failing_since is not None
        return RENEWAL_RETRY_S if is_failing else RENEWAL_INTERVAL_S

    def _step_down_if_cut_off(self) -> None:
        """Give the lease up if the store or the engines fail this VM only."""
        if not self.lease.is_held():
            return
        lost_store = self.lease.has_failed_for(GIVE_UP_AFTER_S)
        is_store_lost_here = lost_store and self.peers.any_reaches_store()
        if is_store_lost_here or self.is_useless():
            self.lease.give_up()
            self.log.note('lease_given_up', fencing=self.lease.fencing)
            self.wake.set()
