"""Remembers which contents were running when replicas were lost."""

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from ..process.clock import Clock
from ..process.groups import GroupRecord

QUARANTINE_S = 600
COMPLETED_LIFETIME_S = 600
MAX_COMPLETED = 20_000
MAX_STRIKES = 5000
# Groups of a fabric domain that are lost within this time fell with it.
DARK_WINDOW_S = 5
# A run that got further than this past the last crash shows that the crash
# does not come from the content.
NEAR_TOKENS = 16
STRIKES_WITHOUT_ISOLATION = 3

GroupKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Loss:
    """A replica that was lost, whatever ran on it."""

    group_id: str
    generation: int
    fabric_domain: str
    at: float

    @property
    def key(self) -> GroupKey:
        """Return what tells this loss from all others."""
        return self.group_id, self.generation


@dataclass(frozen=True, slots=True)
class Strike:
    """A content that was running on a replica when it was lost."""

    fingerprint: str
    loss: Loss
    position: int = 0
    is_isolated: bool = False

    @property
    def key(self) -> tuple[str, GroupKey]:
        """Return what tells this strike from all others."""
        return self.fingerprint, self.loss.key


@dataclass(slots=True)
class SuspectRegistry:
    """Losses and strikes of the last minutes, on this process's clock.

    Explanation
    ===========
    A content with a strike is a suspect. It is condemned once a replica was
    lost to a run of it in isolation, close to where an earlier one was lost,
    or once three replicas were lost with it and it was never seen complete.
    A strike is void while another group of the fabric domain, on which the
    content did not run, was lost about the same time.
    """

    clock: Clock
    losses_by_key: dict[GroupKey, Loss] = field(default_factory=dict)
    strikes_by_key: dict[tuple[str, GroupKey], Strike] = field(
        default_factory=dict,
    )
    cleared_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    running: Counter[str] = field(default_factory=Counter)

    def note_loss(self, group: GroupRecord) -> Loss:
        """Note that a replica was lost, once for each generation."""
        loss = Loss(
            group.group_id,
            group.generation,
            group.fabric_domain,
            self.clock.monotonic(),
        )
        return self.losses_by_key.setdefault(loss.key, loss)

    def add_losses(self, losses: Iterable[Loss]) -> None:
        """Take over losses that others saw."""
        for loss in losses:
            self.losses_by_key.setdefault(loss.key, loss)

    def strike(self, strike: Strike) -> None:
        """Note a strike unless the content was cleared after it."""
        if self.cleared_at.get(strike.fingerprint, 0) > strike.loss.at:
            return
        known = self.strikes_by_key.get(strike.key)
        if known is not None and known.is_isolated:
            strike = replace(strike, is_isolated=True)
        self.add_losses((strike.loss,))
        self.strikes_by_key[strike.key] = strike

    def clear(self, fingerprint: str, at: float) -> bool:
        """Drop the strikes up to a time; return whether there were any."""
        if self.cleared_at.get(fingerprint, 0) < at:
            self.cleared_at[fingerprint] = at
            self.cleared_at.move_to_end(fingerprint)
        if len(self.cleared_at) > MAX_COMPLETED:
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
        return bool(self.strikes_by_key) and bool(self._valid(fingerprint))

    def quarantined_for_s(self, fingerprint: str) -> float:
        """Return for how long a content is still refused, else zero."""
        if not self.strikes_by_key:
            return 0
        valid = self._valid(fingerprint)
        if not self._is_condemned(fingerprint, valid):
            return 0
        last = max(strike.loss.at for strike in valid)
        return last + QUARANTINE_S - self.clock.monotonic()

    def of(self, fingerprints: Collection[str]) -> list[Strike]:
        """Return the strikes of some contents."""
        return [
            strike
            for strike in self.strikes_by_key.values()
            if strike.fingerprint in fingerprints
        ]

    def quarantined(self) -> list[Strike]:
        """Return the strikes of all contents that are refused."""
        return [
            strike
            for strike in self.strikes_by_key.values()
            if self.quarantined_for_s(strike.fingerprint) > 0
        ]

    def expire(self) -> None:
        """Drop what is too old, and the oldest beyond the bound."""
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
        found: dict[str, list[Strike]] = {}
        for strike in self.strikes_by_key.values():
            found.setdefault(strike.fingerprint, []).append(strike)
        return found

    def _valid(self, fingerprint: str) -> list[Strike]:
        earliest = self.clock.monotonic() - QUARANTINE_S
        strikes = self.of((fingerprint,))
        return [
            strike
            for strike in strikes
            if strike.loss.at > earliest and not self._is_void(strike, strikes)
        ]

    def _is_void(self, strike: Strike, strikes: Collection[Strike]) -> bool:
        own = {other.loss.key for other in strikes}
        return any(
            loss.fabric_domain == strike.loss.fabric_domain
            and abs(loss.at - strike.loss.at) <= DARK_WINDOW_S
            and loss.key not in own
            for loss in self.losses_by_key.values()
        )

    def _is_condemned(
        self,
        fingerprint: str,
        strikes: Collection[Strike],
    ) -> bool:
        completed = self.cleared_at.get(fingerprint, float('-inf'))
        is_known_good = (
            self.clock.monotonic() - completed < COMPLETED_LIFETIME_S
        )
        if len(strikes) >= STRIKES_WITHOUT_ISOLATION and not is_known_good:
            return True
        pointing = [
            later
            for later in strikes
            if later.is_isolated
            and any(
                later.key != first.key
                and later.position <= first.position + NEAR_TOKENS
                for first in strikes
            )
        ]
        # What was seen complete is condemned by no coincidence alone.
        return len(pointing) > is_known_good
