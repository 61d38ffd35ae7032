"""Which engines are cold, as far as this VM knows, and until when.

Explanation
===========
An engine that has just started, or that turned cold again, takes few requests
until it is warm, and far more crash it. Its entry in the engine list tells how
long that lasts. Where the entry is late or silent, a start during traffic and
the end of its failure domain's evacuation tell that the engine is cold.

The clock of the engine's machine is never read: the time that an entry tells
counts from the moment at which this VM saw the entry, which is later, so that
no engine is taken for warm too early.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ..membership import short_key
from ..model import ColdTime, Engine, Target
from .coldservices import ColdServices

# The platform's list is this old at most: an entry seen so soon after an
# evacuation ended may have been written before its end.
LIST_AGE_S = 1.4
_UNREADABLE = frozenset((ColdTime.MALFORMED, ColdTime.TOO_LONG))


def _never_reopened(_domain: str) -> float | None:
    """Return that no failure domain was evacuated."""


@dataclass(frozen=True, slots=True)
class ColdSpell:
    """A time for which one incarnation of an engine is cold.

    Explanation
    ===========
    ``key`` names the incarnation while it is cold in notices. ``since`` and
    ``until`` are monotonic times in seconds.
    """

    engine_id: str
    born_ms: int
    key: int
    since: float
    until: float


@dataclass(slots=True)
class ColdEngines:
    """The cold engines of services that limit what these get.

    Parameters
    ==========
    has_traffic : Callable
        Returns whether the site has received requests. Engines that start
        before that are not cold.
    domain_reopened_at : Callable
        Returns the monotonic time at which the last evacuation of a failure
        domain ended, ``None`` if there was none.
    """

    clock: Clock
    log: DecisionLog
    services: ColdServices
    has_traffic: Callable[[], bool]
    domain_reopened_at: Callable[[str], float | None] = _never_reopened
    _is_list_read: bool = False
    _engine_by_id: dict[str, Engine] = field(default_factory=dict)
    _spell_by_engine: dict[str, ColdSpell] = field(default_factory=dict)
    _reopened_at_by_domain: dict[str, float | None] = field(
        default_factory=dict
    )
    _logged: set[tuple[str, int]] = field(default_factory=set)

    def note_list_read(self) -> None:
        """Note that the whole list was read: what comes later is new.

        Explanation
        ===========
        A VM that starts can't tell which engines started before it.
        """
        self._is_list_read = True

    def note_entry(self, engine: Engine) -> None:
        """Take over what a new entry of an engine tells."""
        if not self.services.may_limit(engine):
            return
        before = self._engine_by_id.get(engine.engine_id)
        self._engine_by_id[engine.engine_id] = engine
        self._reopened_at_by_domain.setdefault(engine.failure_domain, None)
        self._log_unreadable(engine)
        is_new = before is None or before.born_ms != engine.born_ms
        now = self.clock.monotonic()
        if engine.cold_remaining_s > 0:
            self._note_listed(engine, now)
        elif is_new and self._is_list_read and self.has_traffic():
            # The entry may have been written before the first request.
            self._begin(
                engine, now + self.services.cold_start_s(engine), 'started'
            )
        elif engine.cold_time is ColdTime.READ:
            self._note_warm(engine, now)

    def has_spells(self) -> bool:
        """Return whether an engine may be cold."""
        return bool(self._spell_by_engine)

    def spell(self, target: Target) -> ColdSpell | None:
        """Return the time for which a target is cold, ``None`` if it is warm.

        Parameters
        ==========
        target : Target
            A target of a service that limits what cold engines get.
        """
        self._note_reopened(target.failure_domain)
        spell = self._spell_by_engine.get(target.engine_id)
        if spell is None or spell.born_ms != target.born_ms:
            return None
        if spell.until <= self.clock.monotonic():
            self._end(spell)
            return None
        return spell

    def spells_by_key(self) -> Mapping[int, ColdSpell]:
        """Return the spells of the engines that take requests."""
        for domain in self._reopened_at_by_domain:
            self._note_reopened(domain)
        now = self.clock.monotonic()
        over = [
            each for each in self._spell_by_engine.values() if each.until <= now
        ]
        for ended in over:
            self._end(ended)
        return {
            spell.key: spell
            for spell in self._spell_by_engine.values()
            if self.services.limits_target(self._engine_by_id[spell.engine_id])
        }

    def _note_listed(self, engine: Engine, now: float) -> None:
        until = now + engine.cold_remaining_s
        known = self._known_spell(engine)
        if known is not None and self._may_precede_reopening(engine, now):
            until = max(until, known.until)
        self._begin(engine, until, 'listed')

    def _note_warm(self, engine: Engine, now: float) -> None:
        known = self._known_spell(engine)
        if known is not None and not self._may_precede_reopening(engine, now):
            self._end(known)

    def _may_precede_reopening(self, engine: Engine, now: float) -> bool:
        """Return whether an entry may be older than an evacuation's end."""
        reopened_at = self.domain_reopened_at(engine.failure_domain)
        return reopened_at is not None and now < reopened_at + LIST_AGE_S

    def _note_reopened(self, domain: str) -> None:
        """Take the engines of a failure domain for cold after an evacuation."""
        reopened_at = self.domain_reopened_at(domain)
        if reopened_at is None:
            return
        if self._reopened_at_by_domain.get(domain) == reopened_at:
            return
        self._reopened_at_by_domain[domain] = reopened_at
        for engine in tuple(self._engine_by_id.values()):
            until = reopened_at + self.services.cold_start_s(engine)
            known = self._known_spell(engine)
            is_longer = known is None or known.until < until
            if engine.failure_domain == domain and is_longer:
                self._begin(engine, until, 'reopened')

    def _known_spell(self, engine: Engine) -> ColdSpell | None:
        spell = self._spell_by_engine.get(engine.engine_id)
        if spell is None or spell.born_ms != engine.born_ms:
            return None
        return spell

    def _begin(self, engine: Engine, until: float, reason: str) -> None:
        now = self.clock.monotonic()
        if until <= now:
            return
        known = self._known_spell(engine)
        if known is None:
            self.log.note(
                'engine_cold',
                engine=engine.engine_id,
                born=engine.born_ms,
                reason=reason,
                seconds=round(until - now, 3),
            )
        since = now if known is None else known.since
        self._spell_by_engine[engine.engine_id] = ColdSpell(
            engine.engine_id,
            engine.born_ms,
            short_key(f'{engine.engine_id}@{engine.born_ms}/cold'),
            since,
            until,
        )

    def _end(self, spell: ColdSpell) -> None:
        self._spell_by_engine.pop(spell.engine_id)
        self.log.note(
            'engine_warm',
            engine=spell.engine_id,
            born=spell.born_ms,
            seconds=round(self.clock.monotonic() - spell.since, 3),
        )

    def _log_unreadable(self, engine: Engine) -> None:
        """Log an entry's time that can't be used, once for each start."""
        incarnation = engine.engine_id, engine.born_ms
        if engine.cold_time not in _UNREADABLE or incarnation in self._logged:
            return
        self._logged.add(incarnation)
        self.log.note(
            'cold_time_malformed',
            engine=engine.engine_id,
            born=engine.born_ms,
            fault=engine.cold_time.value,
            taken_s=engine.cold_remaining_s,
        )
