"""The group claims of one tenure, an uninterrupted hold of the lease."""

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
# The epochs of a tenure are higher than all epochs of earlier tenures.
EPOCHS_PER_TENURE = 1_000_000


@dataclass(slots=True)
class Tenure:
    """The groups of one tenure and their claims in the store."""

    platform: PlatformClient
    lease: Lease
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    fencing: int
    groups_by_name: dict[str, GroupProgress] = field(default_factory=dict)
    is_loaded: bool = False
    _epoch_count: int = 0

    async def load(self) -> None:
        """Read all claims and keep the progress recorded for them."""
        rows = await self.platform.scan(GROUPS_PREFIX)
        now = self.clock.monotonic()
        previous = self.groups_by_name
        claims = [decode_claim(row.key, row.fields) for row in rows]
        self.groups_by_name = {
            claim.formation.name: previous.get(claim.formation.name)
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
        """Return a formation with an epoch that was never used before."""
        self._epoch_count += 1
        epoch = self.fencing * EPOCHS_PER_TENURE + self._epoch_count
        name = group_name(model, epoch, is_standby=is_standby)
        return Formation(name, epoch, model, members)

    async def replace(
        self,
        released: Collection[tuple[GroupProgress, Release]],
        new_formations: Collection[Formation],
        engines_by_id: Mapping[str, Engine],
    ) -> bool:
        """Delete released claims and write new ones in one transaction.

        Explanation
        ===========
        The transaction fails if a later tenure has begun. Returns whether it
        was committed; without the lease nothing is written.
        """
        tenure_row = self.lease.tenure
        if tenure_row is None or not self.lease.is_held():
            return False
        groups = [
            self._new_progress(formation, engines_by_id)
            for formation in new_formations
        ]
        removed = [_removal(progress) for progress, _ in released]
        added = [_claim(progress) for progress in groups]
        await self.platform.commit(
            Transaction((tenure_row,), (*removed, *added))
        )
        for progress, release in released:
            self.groups_by_name.pop(progress.formation.name, None)
            self._note_release(progress, release)
        for progress in groups:
            self.groups_by_name[progress.formation.name] = progress
            self._note_claim(progress.formation)
        return True

    def dissolve_unclaimed(self, directory: Directory) -> None:
        """Start to dissolve open groups that have no claim any more."""
        for engine in directory.engines_by_id.values():
            if _heads_unclaimed_group(engine, self.groups_by_name):
                self._dissolve_orphan(engine)

    def _dissolve_orphan(self, head: Engine) -> None:
        membership = head.membership
        if membership is None:
            return
        name = membership.group
        formation = Formation(
            name, membership.epoch, model_of(name), (head.engine_id,)
        )
        now = self.clock.monotonic()
        progress = GroupProgress(formation, {}, now)
        progress.dissolve('unclaimed', now, graceful=False)
        self.groups_by_name[name] = progress

    def _new_progress(
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

    def _note_release(self, progress: GroupProgress, release: Release) -> None:
        self.metrics.count('groups_released')
        waited_s = self.clock.monotonic() - progress.dissolving_since
        self.log.note(
            'group_released',
            group=progress.formation.name,
            cause=progress.reason,
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


TenureFactory = Callable[[int], Tenure]


def _heads_unclaimed_group(
    engine: Engine,
    claimed: Collection[str],
) -> bool:
    membership = engine.membership
    if membership is None or membership.rank:
        return False
    takes_requests = membership.state in {GroupState.OPEN, GroupState.CLOSING}
    return takes_requests and membership.group not in claimed


def _removal(progress: GroupProgress) -> Write:
    return Write(GROUPS_PREFIX + progress.formation.name, None)


def _claim(progress: GroupProgress) -> Write:
    fields = encode_claim(progress.formation, progress.born_by_member)
    return Write(GROUPS_PREFIX + progress.formation.name, fields)
