"""One tenure of the lease: the groups that it claims in the store."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from ..process.platform import PlatformClient, Transaction, Write
from .actions import Release
from .claims import decode_claim, encode_claim
from .directory import Directory, group_name, model_of
from .group_lifecycle import GroupProgress
from .model import Engine, Formation, GroupState

GROUPS_PREFIX = 'groups/'
# Epochs of a later tenure are higher than all of an earlier one.
EPOCHS_PER_TENURE = 1_000_000


@dataclass(slots=True)
class Tenure:
    """What one tenure knows of groups, and its claims on them."""

    platform: PlatformClient
    lease: Lease
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    fencing: int
    groups_by_name: dict[str, GroupProgress] = field(default_factory=dict)
    is_loaded: bool = False
    _epochs: int = 0

    async def load(self) -> None:
        """Read all claims; what this tenure knows of them is kept."""
        rows = await self.platform.scan(GROUPS_PREFIX)
        now = self.clock.monotonic()
        known = self.groups_by_name
        claims = [decode_claim(row.key, row.fields) for row in rows]
        self.groups_by_name = {
            claim.formation.name: known.get(claim.formation.name)
            or GroupProgress(claim.formation, claim.born_by_member, now)
            for claim in claims
            if claim is not None
        }
        self.is_loaded = True

    def next_formation(
        self,
        model: str,
        members: tuple[str, ...],
        *,
        is_standby: bool = False,
    ) -> Formation:
        """Return a formation under an epoch that no earlier one had."""
        self._epochs += 1
        epoch = self.fencing * EPOCHS_PER_TENURE + self._epochs
        name = group_name(model, epoch, is_standby=is_standby)
        return Formation(name, epoch, model, members)

    async def replace(
        self,
        released: Collection[tuple[GroupProgress, Release]],
        made: Collection[Formation],
        engines_by_id: Mapping[str, Engine],
    ) -> bool:
        """Drop claims and make new ones in one transaction.

        Explanation
        ===========
        The transaction holds only while no later tenure has begun.
        """
        tenure_row = self.lease.tenure
        if tenure_row is None or not self.lease.is_held():
            return False
        standings = [self._standing(one, engines_by_id) for one in made]
        removed = [_removal(standing) for standing, _ in released]
        added = [_claim(standing) for standing in standings]
        await self.platform.commit(
            Transaction((tenure_row,), (*removed, *added))
        )
        for standing, release in released:
            self.groups_by_name.pop(standing.formation.name, None)
            self._note_release(standing, release)
        for standing in standings:
            self.groups_by_name[standing.formation.name] = standing
            self._note_claim(standing.formation)
        return True

    def dissolve_unclaimed(self, directory: Directory) -> None:
        """Dissolve open groups that nobody claims any more."""
        for engine in directory.engines_by_id.values():
            if _heads_unclaimed(engine, self.groups_by_name):
                self._adopt(engine)

    def _adopt(self, head: Engine) -> None:
        membership = head.membership
        if membership is None:
            return
        name = membership.group
        formation = Formation(
            name, membership.epoch, model_of(name), (head.engine_id,)
        )
        now = self.clock.monotonic()
        standing = GroupProgress(formation, {}, now)
        standing.dissolve('unclaimed', now, graceful=False)
        self.groups_by_name[name] = standing

    def _standing(
        self,
        formation: Formation,
        engines_by_id: Mapping[str, Engine],
    ) -> GroupProgress:
        born = {
            member: engines_by_id[member].born_ms
            for member in formation.members
            if member in engines_by_id
        }
        now = self.clock.monotonic()
        return GroupProgress(formation, born, now, is_open_ordered=False)

    def _note_release(self, standing: GroupProgress, release: Release) -> None:
        self.metrics.count('groups_released')
        waited_s = self.clock.monotonic() - standing.dissolving_since
        self.log.note(
            'group_released',
            group=standing.formation.name,
            cause=standing.reason,
            proof=release.reason,
            after_ms=round(waited_s * 1000),
        )

    def _note_claim(self, formation: Formation) -> None:
        self.metrics.count('groups_claimed')
        self.log.note(
            'group_claimed',
            group=formation.name,
            model=formation.model,
            members=formation.members,
        )


MakeTenure = Callable[[int], Tenure]


def _heads_unclaimed(
    engine: Engine,
    claimed: Collection[str],
) -> bool:
    membership = engine.membership
    if membership is None or membership.rank:
        return False
    takes_requests = membership.state in {GroupState.OPEN, GroupState.CLOSING}
    return takes_requests and membership.group not in claimed


def _removal(standing: GroupProgress) -> Write:
    return Write(GROUPS_PREFIX + standing.formation.name, None)


def _claim(standing: GroupProgress) -> Write:
    fields = encode_claim(standing.formation, standing.born_by_member)
    return Write(GROUPS_PREFIX + standing.formation.name, fields)
