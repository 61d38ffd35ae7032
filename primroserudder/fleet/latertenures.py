"""Learns from refused joins that engines know a later tenure.

Explanation
===========
An engine refuses a join whose epoch is lower than one that it has seen. If the
holder of the lease has ordered nothing higher itself, its fencing token is too
low, and all its joins would be refused for good. It then takes a token above
those that are known.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from ..platform import OrderOutcome
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.leaserows import MAX_LOST_TENURES
from .directory import Directory
from .epochs import listed_token, token_of
from .model import Engine, Formation

# How far to raise the token at each refusal by one engine. One that refuses
# more tokens than this gets no joins any more.
TOKEN_STEPS = (MAX_LOST_TENURES, 1000, 10_000, 100_000)


# The engines of several large sites; of others the orders are forgotten.
MAX_INSTANCES = 10_000

# An engine's id and start time.
Instance = tuple[str, int]
SendJoin = Callable[[Engine, Formation], Awaitable[OrderOutcome]]


@dataclass(frozen=True, slots=True)
class RefusedJoin:
    """A join that an engine refused, as it has seen a later epoch."""

    engine: Engine
    formation: Formation


@dataclass(slots=True)
class JoinRecord:
    """The joins that this VM ordered, and those refused without its doing."""

    _epoch_by_instance: dict[Instance, int] = field(default_factory=dict)
    _refused: list[RefusedJoin] = field(default_factory=list)

    async def send(
        self, join: SendJoin, engine: Engine, formation: Formation
    ) -> OrderOutcome:
        """Send a join; record a refusal that no other order explains."""
        instance = _instance(engine)
        before = self._epoch_by_instance.pop(instance, 0)
        self._epoch_by_instance[instance] = max(before, formation.epoch)
        if len(self._epoch_by_instance) > MAX_INSTANCES:
            longest_ago = next(iter(self._epoch_by_instance))
            self._epoch_by_instance.pop(longest_ago)
        outcome = await join(engine, formation)
        highest = self._epoch_by_instance.get(instance)
        is_highest = highest == formation.epoch
        if outcome is OrderOutcome.OUTDATED and is_highest:
            self._refused.append(RefusedJoin(engine, formation))
        return outcome

    def take_refused(self) -> Sequence[RefusedJoin]:
        """Return the recorded refusals since the last call."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused


@dataclass(slots=True)
class LaterTenures:
    """Ends the tenure of a holder whose fencing token is too low."""

    lease: Lease
    directory: Directory
    log: DecisionLog
    _refusals_by_instance: Counter[Instance] = field(default_factory=Counter)
    _refusing: set[Instance] = field(default_factory=set)

    def refusing_ids(self) -> AbstractSet[str]:
        """Return the engines that refuse whatever token the holder takes."""
        engines = self.directory.engines_by_id
        return {
            engine_id
            for engine_id, born_ms in self._refusing
            if engine_id in engines and engines[engine_id].born_ms == born_ms
        }

    def note_refusals(
        self, refused: Iterable[RefusedJoin], fencing: int
    ) -> None:
        """Take a higher token if a join of the current tenure was refused."""
        engines = {
            join.engine.engine_id: join.engine
            for join in refused
            if token_of(join.formation.epoch) == fencing
        }
        steps = [self._step(engine) for engine in engines.values()]
        if not any(steps):
            return
        listed = listed_token(self.directory.engines_by_id.values())
        surpassed = max(listed, fencing + max(steps))
        self.log.note(
            'tenure_outdated',
            fencing=fencing,
            surpassed=surpassed,
            engines=sorted(engines),
        )
        self.lease.surpass(surpassed)

    def _step(self, engine: Engine) -> int:
        """Return how far to raise the token, zero if it would not help."""
        instance = _instance(engine)
        refusals = self._refusals_by_instance[instance]
        if refusals == len(TOKEN_STEPS):
            self._refusing.add(instance)
            return 0
        self._refusals_by_instance[instance] += 1
        return TOKEN_STEPS[refusals]


def _instance(engine: Engine) -> Instance:
    return engine.engine_id, engine.born_ms
