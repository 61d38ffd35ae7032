"""Chooses the group that serves a request."""

import random
from collections import Counter
from collections.abc import (
    Callable,
    Collection,
    Iterator,
    Sequence,
)
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord
from ..process.metrics import Metrics
from .caller import CallerRequest
from .catalogue import Catalogue
from .inflight import InFlightAttempt
from .pinning import VersionPins
from .ranking import Ranker
from .scoring import Prompt, Scorer, read_prompt
from .spill import SpillOver
from .subset import Subset


class NoGroupServes(RudderError):
    """No group of the deployment can serve the request now."""

    code = 'no_group_serves'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


def _no_wanted_version(deployment: str) -> str:
    return ''


@dataclass(slots=True)
class Router:
    """Chooses among serving groups, this failure domain's first.

    Explanation
    ===========
    A decision scores a bounded number of groups by their estimated time to
    first token: those that probably cache the longest prefix of the prompt,
    those that follow the prompt's first block on a hash ring, those that this
    entry prefers, and a random sample. The chosen group is checked against
    the directory and the evidence before it is returned. ``wanted_version``
    returns the model version of a deployment in the active configuration.
    """

    failure_domain: str
    directory: GroupDirectory
    evidence: EvidenceBook
    rng: random.Random
    metrics: Metrics = field(default_factory=Metrics)
    wanted_version: Callable[[str], str] = field(default=_no_wanted_version)
    subset: Subset = field(default_factory=Subset)
    in_flight_by_group: Counter[str] = field(default_factory=Counter)
    scorer: Scorer = field(init=False)
    catalogue: Catalogue = field(init=False)
    ranker: Ranker = field(init=False)
    pins: VersionPins = field(default_factory=VersionPins)
    attempts_in_flight: set[InFlightAttempt] = field(default_factory=set)
    _last_prompt: tuple[str, Prompt] = field(default=('', Prompt(0, ())))

    def __post_init__(self) -> None:
        """Create the scorer, the catalogue and the ranker."""
        self.scorer = Scorer(self.evidence)
        self.catalogue = Catalogue(
            self.directory,
            self.evidence,
            self.failure_domain,
        )
        self.ranker = Ranker(
            self.failure_domain,
            self.scorer,
            self.catalogue,
            SpillOver(self.failure_domain, self.scorer, self.metrics),
            self.rng,
            self.subset,
        )

    def choose(
        self,
        request: CallerRequest,
        avoided: Collection[str] = (),
        model_version: str = '',
    ) -> GroupRecord:
        """Return the group for the next attempt and record the latency.

        Parameters
        ==========
        request : CallerRequest
            Request to be served.
        avoided : Collection[str]
            Ids of groups that are chosen only if there is no other one.
        model_version : str
            The only version that may serve, for a response that has already
            started; if empty, the version pins decide.

        Raises
        ======
        NoGroupServes
            No group of the deployment can serve the request.
        """
        clock = self.evidence.clock
        now = clock.monotonic()
        chosen = self._choose(request, avoided, model_version, now)
        decision_s = clock.monotonic() - now
        self.metrics.latency('routing_decision').record(decision_s)
        return chosen

    def serving_groups(self, deployment: str) -> Sequence[GroupRecord]:
        """Return the groups that currently serve a deployment."""
        return [
            group
            for group in self.directory.of_deployment(deployment)
            if self.evidence.is_serving(group)
        ]

    @contextmanager
    def dispatched(
        self,
        request: CallerRequest,
        group: GroupRecord,
    ) -> Iterator[InFlightAttempt]:
        """Include an attempt in a group's load while the context is open."""
        flight = InFlightAttempt.begin(
            self.scorer, group, self._prompt_of(request)
        )
        self.attempts_in_flight.add(flight)
        self.in_flight_by_group[group.group_id] += 1
        with ExitStack() as stack:
            stack.callback(flight.end)
            stack.callback(self.attempts_in_flight.discard, flight)
            stack.callback(self._end_attempt, group.group_id)
            yield flight

    def may_take(self, group: GroupRecord, request: CallerRequest) -> bool:
        """Return whether a group can serve a request now."""
        current = self.directory.by_id.get(group.group_id)
        if current is None or current.generation != group.generation:
            return False
        has_adapter = _has_adapter(current, request)
        return has_adapter and self.evidence.is_serving(current)

    def tick(self) -> None:
        """Measure attempts in flight, and drop groups that were removed."""
        for flight in tuple(self.attempts_in_flight):
            flight.measure()
        self.scorer.keep_only(self.directory.by_id.keys())
        self.subset.renew(
            group
            for group in self.directory.by_id.values()
            if group.failure_domain == self.failure_domain
        )

    def dump(self) -> dict[str, object]:
        """Return the state of the routing policy for the state dump."""
        return {
            **self.scorer.dump(),
            'in_flight': len(self.attempts_in_flight),
            'spilling': sorted(self.ranker.spill.spilling),
            'moved_share_by_version': self.pins.dump(),
            'repeated_prefix_share': round(
                self.ranker.repeated_prefixes.share, 3
            ),
        }

    def _end_attempt(self, group_id: str) -> None:
        self.in_flight_by_group[group_id] -= 1
        if not self.in_flight_by_group[group_id]:
            self.in_flight_by_group.pop(group_id)

    def _choose(
        self,
        request: CallerRequest,
        avoided: Collection[str],
        model_version: str,
        now: float,
    ) -> GroupRecord:
        prompt = self._prompt_of(request)
        if not avoided:
            self.ranker.repeated_prefixes.note(prompt)
        version = model_version or self._pinned_version(request, now)
        ranked = self.ranker.rank(request, prompt, version, now)
        for group in ranked:
            if group.group_id not in avoided and self.may_take(group, request):
                self._count_cached_words(group, prompt)
                return group
        return self._choose_by_full_scan(request, avoided, model_version)

    def _prompt_of(self, request: CallerRequest) -> Prompt:
        # The prompt of one request is cached, as ``choose`` and ``dispatched``
        # usually follow each other for the same request.
        request_id, prompt = self._last_prompt
        if request_id != request.request_id:
            prompt = read_prompt(request)
            self._last_prompt = (request.request_id, prompt)
        return prompt

    def _pinned_version(self, request: CallerRequest, now: float) -> str:
        deployment = request.service.deployment
        groups_by_version = self.catalogue.groups_by_version(deployment, now)
        if len(groups_by_version) <= 1:
            return next(iter(groups_by_version), '')
        wanted = self.wanted_version(deployment)
        return self.pins.choose_version(request, wanted, groups_by_version)

    def _choose_by_full_scan(
        self,
        request: CallerRequest,
        avoided: Collection[str],
        model_version: str,
    ) -> GroupRecord:
        # This full scan is rare: it runs if all ranked candidates were stale,
        # unsuitable or avoided.
        deployment = request.service.deployment
        self.catalogue.invalidate(deployment)
        self.metrics.count('full_scans', deployment=deployment)
        serving_groups = [
            group
            for group in self.serving_groups(deployment)
            if model_version in {'', group.model_version}
            and _has_adapter(group, request)
        ]
        candidates = [
            group for group in serving_groups if group.group_id not in avoided
        ] or serving_groups
        if not candidates:
            raise NoGroupServes(
                f'no group can serve {request.service_name} now',
                retry_after=1,
            )
        return min(candidates, key=self._scan_cost)

    def _scan_cost(self, group: GroupRecord) -> tuple[bool, bool, float, float]:
        now = self.evidence.clock.monotonic()
        return (
            self.scorer.outliers.is_ejected(group.group_id, now),
            group.failure_domain != self.failure_domain,
            self.scorer.time_to_first_token(group, 0, now),
            self.rng.random(),
        )

    def _count_cached_words(self, group: GroupRecord, prompt: Prompt) -> None:
        uncached = self.scorer.uncached_words(group, prompt)
        self.metrics.count('routed_prompt_words', prompt.words)
        cached = prompt.words - uncached
        self.metrics.count('expected_cached_words', cached)


def _has_adapter(group: GroupRecord, request: CallerRequest) -> bool:
    adapter = request.service.adapter
    return not adapter or adapter in group.adapters
