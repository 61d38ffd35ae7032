"""Chooses the group that takes a request."""

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
    """No whole group can take the request now."""

    code = 'no_group_serves'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


def _no_wanted_version(deployment: str) -> str:
    return ''


@dataclass(slots=True)
class Router:
    """Chooses among whole groups, own failure domain first.

    Explanation
    ===========
    A decision scores a bounded number of groups by their estimated time to
    first token: those that seem to hold the longest prefix of the prompt,
    those that follow the prompt's first block on a hash ring, and a random
    sample. The group is checked against directory and evidence at the moment
    of the choice. ``wanted_version`` names the model version that the
    configuration in force wants for a deployment.
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
    flights: set[InFlightAttempt] = field(default_factory=set)
    _read_last: tuple[str, Prompt] = field(default=('', Prompt(0, ())))

    def __post_init__(self) -> None:
        """Make the parts."""
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
        """Return the group for the next attempt and note the time it took.

        Parameters
        ==========
        request : CallerRequest
            What shall be served.
        avoided : Collection[str]
            Ids of groups that are taken only if there is no other one.
        model_version : str
            The only version that may answer, for an answer that has begun;
            empty lets the pins decide.

        Raises
        ======
        NoGroupServes
            No group of the deployment is whole.
        """
        clock = self.evidence.clock
        now = clock.monotonic()
        chosen = self._choose(request, avoided, model_version, now)
        took = clock.monotonic() - now
        self.metrics.latency('routing_decision').record(took)
        return chosen

    def serving(self, deployment: str) -> Sequence[GroupRecord]:
        """Return the groups that may be given a request now."""
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
        """Count an attempt into a group's load while it runs."""
        flight = InFlightAttempt.begin(self.scorer, group, self._read(request))
        self.flights.add(flight)
        self.in_flight_by_group[group.group_id] += 1
        with ExitStack() as stack:
            stack.callback(flight.end)
            stack.callback(self.flights.discard, flight)
            stack.callback(self._landed, group.group_id)
            yield flight

    def may_take(self, group: GroupRecord, request: CallerRequest) -> bool:
        """Return whether a group may be given a request now."""
        current = self.directory.by_id.get(group.group_id)
        if current is None or current.generation != group.generation:
            return False
        has_adapter = _has_adapter(current, request)
        return has_adapter and self.evidence.is_serving(current)

    def tick(self) -> None:
        """Measure the attempts in flight and drop groups that are gone."""
        for flight in tuple(self.flights):
            flight.measure()
        self.scorer.keep_only(self.directory.by_id.keys())
        self.subset.renew(
            group
            for group in self.directory.by_id.values()
            if group.failure_domain == self.failure_domain
        )

    def dump(self) -> dict[str, object]:
        """Return what decides on routes, for the state dump."""
        return {
            **self.scorer.dump(),
            'in_flight': len(self.flights),
            'spilling': sorted(self.ranker.spill.spilling),
            'moved_share_by_version': self.pins.dump(),
            'repeated_prefix_share': round(self.ranker.families.share, 3),
        }

    def _landed(self, group_id: str) -> None:
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
        prompt = self._read(request)
        if not avoided:
            self.ranker.families.note(prompt)
        version = model_version or self._pinned(request, now)
        ranked = self.ranker.rank(request, prompt, version, now)
        for group in ranked:
            if group.group_id not in avoided and self.may_take(group, request):
                self._note_hits(group, prompt)
                return group
        return self._choose_of_all(request, avoided, model_version)

    def _read(self, request: CallerRequest) -> Prompt:
        # Choice and dispatch follow each other without a pause.
        request_id, prompt = self._read_last
        if request_id != request.request_id:
            prompt = read_prompt(request)
            self._read_last = (request.request_id, prompt)
        return prompt

    def _pinned(self, request: CallerRequest, now: float) -> str:
        deployment = request.service.deployment
        groups_by_version = self.catalogue.groups_by_version(deployment, now)
        if len(groups_by_version) <= 1:
            return next(iter(groups_by_version), '')
        wanted = self.wanted_version(deployment)
        return self.pins.pick(request, wanted, groups_by_version)

    def _choose_of_all(
        self,
        request: CallerRequest,
        avoided: Collection[str],
        model_version: str,
    ) -> GroupRecord:
        # Rare: the few candidates were stale, or there is no other group.
        deployment = request.service.deployment
        self.catalogue.drop(deployment)
        self.metrics.count('full_scans', deployment=deployment)
        serving = [
            group
            for group in self.serving(deployment)
            if model_version in {'', group.model_version}
            and _has_adapter(group, request)
        ]
        candidates = [
            group for group in serving if group.group_id not in avoided
        ] or serving
        if not candidates:
            raise NoGroupServes(
                f'no whole group serves {request.service_name}',
                retry_after=1,
            )
        return min(candidates, key=self._scan_cost)

    def _scan_cost(self, group: GroupRecord) -> tuple[bool, bool, float, float]:
        now = self.evidence.clock.monotonic()
        return (
            self.scorer.outliers.is_ejected(group.group_id, now),
            group.failure_domain != self.failure_domain,
            self.scorer.seconds(group, 0, now),
            self.rng.random(),
        )

    def _note_hits(self, group: GroupRecord, prompt: Prompt) -> None:
        uncached = self.scorer.uncached_words(group, prompt)
        self.metrics.count('routed_prompt_words', prompt.words)
        cached = prompt.words - uncached
        self.metrics.count('expected_cached_words', cached)


def _has_adapter(group: GroupRecord, request: CallerRequest) -> bool:
    adapter = request.service.adapter
    return not adapter or adapter in group.adapters
