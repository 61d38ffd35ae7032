"""Decides which targets may get requests while domains are evacuated.

Explanation
===========
Load: operators take a whole failure domain out of use, at times several or all
of them, while the site is overloaded. What the domain carried then arrives at
the others, or is refused at once. When the domain returns, its targets are
usable again in the same moment at each VM that hears of it.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ...platform import EvacuationRows
from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.platform import Row
from ..model import Engine, Target

# Ends of evacuations that are remembered. Sites have few domains; rows may
# name any number of domains that don't exist.
MAX_ENDED = 1000

Decode = Callable[[Mapping[str, Row]], EvacuationRows]
NO_DOMAINS: frozenset[str] = frozenset()


@dataclass(slots=True)
class Evacuations:
    """The evacuated failure domains as this VM knows them.

    Parameters
    ==========
    domains : frozenset of str
        The evacuated domains. The object is replaced only if the domains
        change, so that its identity tells whether they did.
    """

    decode: Decode
    clock: Clock
    log: DecisionLog
    domains: frozenset[str] = NO_DOMAINS
    _revision_by_domain: dict[str, int] = field(default_factory=dict)
    _ended_at_by_domain: dict[str, float] = field(default_factory=dict)
    _malformed_keys: frozenset[str] = frozenset()

    def update(self, rows_by_key: Mapping[str, Row]) -> bool:
        """Take over the operators' rows; return whether the domains changed."""
        rows = self.decode(rows_by_key)
        self._note_malformed(rows.malformed_keys)
        known = rows.revision_by_domain
        ended = self.domains - known.keys()
        begun = known.keys() - self.domains
        for domain, revision in known.items():
            before = self._revision_by_domain.get(domain, 0)
            self._revision_by_domain[domain] = max(revision, before)
        for begins in sorted(begun):
            self._begin(begins)
        for ends in sorted(ended):
            self._end(ends)
        if begun or ended:
            self.domains = frozenset(known)
        return bool(begun or ended)

    def ended_at(self, domain: str) -> float | None:
        """Return when a domain's evacuation ended, as seen by this VM.

        Explanation
        ===========
        A monotonic time in seconds; ``None`` if no evacuation of the domain
        has ended since this VM's start, or while one lasts.
        """
        return self._ended_at_by_domain.get(domain)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether engines of a domain get no new requests."""
        return domain in self.domains

    def may_send(self, target: Target) -> bool:
        """Return whether a target may get a request.

        Explanation
        ===========
        A router in an evacuated domain may: it sends on to other domains.
        """
        return target.is_router or target.failure_domain not in self.domains

    def usable(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return the targets that may get requests.

        Explanation
        ===========
        The same object is returned if all of them may.
        """
        if not self.domains:
            return targets
        usable = tuple(filter(self.may_send, targets))
        return targets if len(usable) == len(targets) else usable

    def dump(self, engines: Iterable[Engine]) -> Mapping[str, object]:
        """Return the evacuated domains for operators.

        Explanation
        ===========
        A domain without listed engines may have been misspelt.
        """
        listed = [engine.failure_domain for engine in engines]
        return {
            domain: {
                'revision': self._revision_by_domain[domain],
                'engines': listed.count(domain),
            }
            for domain in sorted(self.domains)
        }

    def _begin(self, domain: str) -> None:
        self._ended_at_by_domain.pop(domain, None)
        self.log.note(
            'evacuation_begun',
            domain=domain,
            revision=self._revision_by_domain[domain],
        )

    def _end(self, domain: str) -> None:
        self._ended_at_by_domain[domain] = self.clock.monotonic()
        if len(self._ended_at_by_domain) > MAX_ENDED:
            self._ended_at_by_domain.pop(next(iter(self._ended_at_by_domain)))
        self.log.note(
            'evacuation_ended',
            domain=domain,
            revision=self._revision_by_domain.pop(domain),
        )

    def _note_malformed(self, keys: frozenset[str]) -> None:
        for key in sorted(keys - self._malformed_keys):
            self.log.note('evacuation_malformed', key=key)
        self._malformed_keys = keys
