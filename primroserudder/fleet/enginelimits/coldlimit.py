"""Decides whether a request may be sent to a cold engine now.

Explanation
===========
This answers two loads: requests that wait at all VMs when an engine joins an
overloaded pool, and a surge that all VMs send on when other engines are lost.
Either reaches the cold engine within less time than a notice takes.

What a cold engine takes is divided by what is known. A VM begins with its
share by the number of known VMs, and has in addition the shares of those that
told it that they know the engine as cold. They are then one side, which counts
together what it sends. Sides that don't hear each other add up to the limit at
most.

On a side, each look for a place succeeds with such a chance that all looks of
the side get what the engine takes. Looks of the others are known from notices.
While this VM looks more often than the others can know, it assumes that some of
the others do so too.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..membership import InFlightCounts
from ..model import Target
from .cold import ColdEngines, ColdSpell
from .coldlooks import ColdLooks
from .sitesize import SiteSize
from .window import SentLately

WINDOW_S = 1.0
# Looks of a side that hears all VMs aim at this many times the limit; what
# exceeds it is held back by the count.
AIM = 1.3
# The rate falls with the room that is left, so that what is sent before the
# others hear of it stays small near the limit.
SLOWING = 6.0
# A side that does not hear all VMs can't count what the others send, and so
# stays below its share.
AIM_OF_PART = 0.8
# How many of the other VMs are assumed to look more often when this one does.
SHARE_RISING = 0.5


@dataclass(slots=True)
class ColdLimit:
    """Keeps all VMs together to what cold engines take.

    Parameters
    ==========
    on_held_back : Callable
        Called when a look at a cold engine finds no place.
    """

    engines: ColdEngines
    counts: InFlightCounts
    clock: Clock
    site_size: SiteSize
    rng: random.Random
    on_held_back: Callable[[], None]
    held_back: int = 0
    _sent: SentLately = field(default_factory=SentLately)
    _looks: ColdLooks = field(default_factory=ColdLooks)

    def may_send(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now."""
        if not target.cold_per_s:
            return True
        spell = self.engines.spell(target)
        if spell is None or self._finds_place(target, spell):
            return True
        self.held_back += 1
        self.on_held_back()
        return False

    def note_send(self, target: Target) -> None:
        """Count a request that is sent to a target."""
        if not target.cold_per_s:
            return
        spell = self.engines.spell(target)
        if spell is not None:
            self._sent.note(spell.key, self.clock.monotonic())

    def full_limit(self, target: Target) -> tuple[float, float]:
        """Return what a target takes a second, and for how long it is cold.

        Explanation
        ===========
        The limit is infinite if it has room.
        """
        spell = self.engines.spell(target) if target.cold_per_s else None
        if spell is None or self._room(target, spell) >= 1:
            return float('inf'), 0
        left_s = spell.until - self.clock.monotonic()
        return self._quota(target, spell), left_s

    def cold_by_key(self) -> dict[int, int]:
        """Return one for each engine known as cold, for notices."""
        return dict.fromkeys(self.engines.spells_by_key(), 1)

    def sent_by_key(self) -> dict[int, int]:
        """Return what this VM sent to cold engines lately, for notices."""
        since = self.clock.monotonic() - WINDOW_S
        return self._sent.counts(
            dict.fromkeys(self.engines.spells_by_key(), since)
        )

    def looks_by_key(self) -> dict[int, int]:
        """Return how often this VM looked for a place, for notices."""
        return self._looks.rates(
            self.engines.spells_by_key(), self.clock.monotonic()
        )

    def dump(self) -> Mapping[str, Mapping[str, float]]:
        """Return what is known of each cold engine, by its id."""
        now = self.clock.monotonic()
        sent = self.sent_by_key()
        return {
            spell.engine_id: {
                'born': spell.born_ms,
                'cold_for_s': round(spell.until - now, 3),
                'sent_here': sent.get(key, 0),
                'sent_elsewhere': self.counts.others_sent.get(key, 0),
                'vms_that_know': self.counts.others_cold.get(key, 0) + 1,
            }
            for key, spell in self.engines.spells_by_key().items()
        }

    def _finds_place(self, target: Target, spell: ColdSpell) -> bool:
        now = self.clock.monotonic()
        self._looks.note(spell.key, spell.since, now)
        room = self._room(target, spell)
        if room < 1:
            return False
        if self.site_size.vms() == 1:
            return True
        quota = self._quota(target, spell)
        aim = AIM if self._share(spell.key) == 1 else AIM_OF_PART
        wanted_per_s = min(aim * quota, SLOWING * room)
        looks_per_s = self._looks_per_s(spell.key, now)
        return self.rng.random() * looks_per_s < wanted_per_s

    def _room(self, target: Target, spell: ColdSpell) -> float:
        """Return how many requests more the limit leaves room for now."""
        now = self.clock.monotonic()
        quota = self._quota(target, spell)
        # A share of less than one request a second is one in a longer time.
        window_s = max(WINDOW_S, 1 / quota)
        sent = self._sent.count(spell.key, now - window_s)
        sent += max(self.counts.others_sent.get(spell.key, 0), 0)
        return max(1.0, quota) - sent

    def _quota(self, target: Target, spell: ColdSpell) -> float:
        """Return what this VM's side may send to an engine, a second."""
        return target.cold_per_s * self._share(spell.key)

    def _share(self, key: int) -> float:
        """Return the share of all VMs that is on this VM's side."""
        aware = self.counts.others_cold.get(key, 0) + 1
        return min(1.0, aware / self.site_size.vms())

    def _looks_per_s(self, key: int, now: float) -> float:
        """Return how often all VMs of the side look, as far as known."""
        others = self.counts.others_cold.get(key, 0)
        rising = SHARE_RISING * others * self._looks.unheard_rise(key, now)
        heard = max(self.counts.others_looks.get(key, 0), 0)
        return self._looks.rate(key, now) + heard + rising
