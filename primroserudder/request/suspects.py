"""Registry of the contents that were running when replicas were lost."""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..process.clock import Clock
from ..process.groups import GroupRecord

QUARANTINE_S = 600
KNOWN_GOOD_LIFETIME_S = 600
MAX_CLEARED = 20_000
MAX_STRIKES = 5000
# Groups of one fabric domain that are lost within this time of each other
# count as an outage of the domain.
DOMAIN_OUTAGE_WINDOW_S = 5
# A run that gets more than this many tokens past the position of an earlier
# crash shows that the content did not cause that crash.
SAME_CRASH_TOKENS = 16
QUARANTINE_STRIKES = 3

GroupKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Loss:
    """The loss of a replica, regardless of what ran on it."""

    group_id: str
    generation: int
    fabric_domain: str
    at: float

    @property
    def key(self) -> GroupKey:
        """Return the unique key of this loss."""
        return self.group_id, self.generation


@dataclass(frozen=True, slots=True)
class Strike:
    """A record that a content was running on a replica when it was lost."""

    fingerprint: str
    loss: Loss
    position: int = 0
    is_isolated: bool = False

    @property
    def key(self) -> tuple[str, GroupKey]:
        """Return the unique key of this strike."""
        return self.fingerprint, self.loss.key


@dataclass(slots=True)
class SuspectRegistry:
    """Recent losses and strikes, in seconds of this process's clock.

    Explanation
    ===========
    A content with a valid strike is a suspect. It is quarantined once a
    replica is lost during an isolated run of it, near the token position of
    an earlier loss, or once three replicas are lost with it and no run of it
    has completed. A strike is void if another group of the same fabric domain,
    on which the content did not run, was lost at about the same time.
    """

    clock: Clock
    losses_by_key: dict[GroupKey, Loss] = field(default_factory=dict)
    strikes_by_key: dict[tuple[str, GroupKey], Strike] = field(
        default_factory=dict,
    )
    cleared_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    running: Counter[str] = field(default_factory=Counter)

    def note_loss(self, group: GroupRecord) -> Loss:
        """Record the loss of a replica, once for each generation."""
        loss = Loss(
            group.group_id,
            group.generation,
            group.fabric_domain,
            self.clock.monotonic(),
        )
        return self.losses_by_key.setdefault(loss.key, loss)

    def add_losses(self, losses: Iterable[Loss]) -> None:
        """Add losses that other entries reported."""
        for loss in losses:
            self.losses_by_key.setdefault(loss.key, loss)

    def strike(self, strike: Strike) -> None:
        """Record a strike unless the content was cleared after it."""
        if self.cleared_at.get(strike.fingerprint, 0) > strike.loss.at:
            return
        existing = self.strikes_by_key.get(strike.key)
        if existing is not None and existing.is_isolated:
            strike = replace(strike, is_isolated=True)
        self.add_losses((strike.loss,))
        self.strikes_by_key[strike.key] = strike

    def clear(self, fingerprint: str, at: float) -> bool:
        """Drop the strikes up to a time; return whether any existed."""
        if self.cleared_at.get(fingerprint, 0) < at:
            self.cleared_at[fingerprint] = at
            self.cleared_at.move_to_end(fingerprint)
        if len(self.cleared_at) > MAX_CLEARED:
            self.cleared_at.popitem(last=False)
        cleared = [
            key
            for key, strike in self.strikes_by_key.items()
            if key[0] == fingerprint and strike.loss.at <= at
        ]
        for key in cleared:
            self.strikes_by_key.pop(key)
        return bool(cleared)

    def end_run(self, fingerprint: str) -> None:
        """Note that one run of a content ended."""
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            self.running.pop(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a content may run only in isolation."""
        return bool(self.strikes_by_key) and bool(
            self._valid_strikes(fingerprint),
        )

    def quarantined_for_s(self, fingerprint: str) -> float:
        """Return the remaining quarantine in seconds, zero or less if none."""
        if not self.strikes_by_key:
            return 0
        valid = self._valid_strikes(fingerprint)
        if not self._has_crash_proof(fingerprint, valid):
            return 0
        last = max(strike.loss.at for strike in valid)
        return last + QUARANTINE_S - self.clock.monotonic()

    def strikes_of(self, fingerprints: Collection[str]) -> list[Strike]:
        """Return the strikes of the given contents."""
        return [
            strike
            for strike in self.strikes_by_key.values()
            if strike.fingerprint in fingerprints
        ]

    def quarantined(self) -> list[Strike]:
        """Return the strikes of all quarantined contents."""
        return [
            strike
            for strike in self.strikes_by_key.values()
            if self.quarantined_for_s(strike.fingerprint) > 0
        ]

    def expire(self) -> None:
        """Drop expired records, and the oldest strikes above the limit."""
        earliest = self.clock.monotonic() - QUARANTINE_S
        self.losses_by_key = {
            key: loss
            for key, loss in self.losses_by_key.items()
            if loss.at > earliest
        }
        fresh = [
            strike
            for strike in self.strikes_by_key.values()
            if strike.loss.at > earliest
        ]
        fresh.sort(key=lambda strike: strike.loss.at)
        self.strikes_by_key = {
            strike.key: strike for strike in fresh[-MAX_STRIKES:]
        }

    def dump(self) -> Mapping[str, object]:
        """Return the contents with strikes, for operators."""
        now = self.clock.monotonic()
        return {
            fingerprint: {
                'quarantined_for_s': round(self.quarantined_for_s(fingerprint)),
                'strikes': [
                    {
                        'group_id': strike.loss.group_id,
                        'generation': strike.loss.generation,
                        'age_s': round(now - strike.loss.at, 1),
                        'position': strike.position,
                        'isolated': strike.is_isolated,
                        'void': self._is_void(strike, strikes),
                    }
                    for strike in strikes
                ],
            }
            for fingerprint, strikes in self._by_fingerprint().items()
        }

    def _by_fingerprint(self) -> dict[str, list[Strike]]:
        strikes_by_fingerprint: dict[str, list[Strike]] = {}
        for strike in self.strikes_by_key.values():
            strikes_by_fingerprint.setdefault(strike.fingerprint, []).append(
                strike,
            )
        return strikes_by_fingerprint

    def _valid_strikes(self, fingerprint: str) -> list[Strike]:
        earliest = self.clock.monotonic() - QUARANTINE_S
        strikes = self.strikes_of((fingerprint,))
        return [
            strike
            for strike in strikes
            if strike.loss.at > earliest and not self._is_void(strike, strikes)
        ]

    def _is_void(self, strike: Strike, strikes: Collection[Strike]) -> bool:
        own_losses = {other.loss.key for other in strikes}
        return any(
            loss.fabric_domain == strike.loss.fabric_domain
            and abs(loss.at - strike.loss.at) <= DOMAIN_OUTAGE_WINDOW_S
            and loss.key not in own_losses
            for loss in self.losses_by_key.values()
        )

    def _has_crash_proof(
        self,
        fingerprint: str,
        strikes: Collection[Strike],
    ) -> bool:
        completed = self.cleared_at.get(fingerprint, float('-inf'))
        is_known_good = (
            self.clock.monotonic() - completed < KNOWN_GOOD_LIFETIME_S
        )
        if len(strikes) >= QUARANTINE_STRIKES and not is_known_good:
            return True
        confirming = [
            later
            for later in strikes
            if later.is_isolated
            and any(
                later.key != earlier.key
                and later.position <= earlier.position + SAME_CRASH_TOKENS
                for earlier in strikes
            )
        ]
        # A content with a completed run needs two confirming losses, so that a
        # single coincidence does not quarantine it.
        return len(confirming) > is_known_good
