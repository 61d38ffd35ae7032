"""The group claims of one tenure, an uninterrupted hold of the lease."""

from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
from dataclasses import dataclass, field

from ..platform import is_storable
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from ..process.metrics import Metrics
from ..process.platform import Conflict, PlatformClient, Write
from .actions import Release
from .claimconflicts import conflicting_groups
from .claims import Claim, decode_claim, encode_claim
from .claimwriter import ClaimWriter
from .directory import Directory
from .directorynames import group_name, model_of
from .epochs import MAX_TOKEN, epoch_of, token_of
from .group_lifecycle import GroupProgress, is_member
from .listedgroups import ListedGroup, listed_groups
from .model import Engine, Formation

GROUPS_PREFIX = 'groups/'


@dataclass(slots=True)
class Tenure:
    """The groups of one tenure and their claims in the store.

    Parameters
    ==========
    inherited : Mapping or None
        The groups of this process's last tenure, if it held the lease until
        the store came back from a copy.
    group_size : Callable
        Returns the size of a model's groups, zero if the model is unknown.
    epoch_count : int
        How many epochs were given out under this fencing token.
    """

    platform: PlatformClient
    lease: Lease
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    fencing: int
    directory: Directory
    group_size: Callable[[str], int]
    inherited: Mapping[str, GroupProgress] | None = None
    groups_by_name: dict[str, GroupProgress] = field(default_factory=dict)
    is_loaded: bool = False
    epoch_count: int = 0
    writer: ClaimWriter = field(init=False)
    _are_claims_restored: bool = False
    _unstorable_models: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the writer of the claims."""
        self.writer = ClaimWriter(self.platform, self.lease)

    async def load(self) -> None:
        """Read all claims and keep the progress recorded for them.

        Raises
        ======
        Conflict, PlatformUnavailable
            The claims were not read, or the tenure ended meanwhile.
        """
        await self.writer.read_sequence()
        rows = await self.platform.scan(GROUPS_PREFIX)
        is_ours = self.lease.fencing == self.fencing
        if not (is_ours and self.lease.is_held()):
            # They may be those of a copy; what is known stands until then.
            raise Conflict('the lease ended as the claims were read')
        now = self.clock.monotonic()
        previous = self.groups_by_name
        claims = [decode_claim(row.key, row.fields) for row in rows]
        later = _latest_token(claims)
        if later > self.fencing:
            self.lease.surpass(later)
            raise Conflict(
                f'a claim of tenure {later}: expected {self.fencing} at most'
            )
        self.groups_by_name = {
            claim.formation.name: previous.get(claim.formation.name)
            or GroupProgress(claim.formation, claim.born_by_member, now)
            for claim in claims
            if claim is not None
        }
        if self.lease.is_after_restore and not self._are_claims_restored:
            await self._restore_claims()
            self._are_claims_restored = True
        self.is_loaded = True

    def next_formation(
        self,
        model: str,
        members: tuple[str, ...],
        *,
        is_standby: bool = False,
    ) -> Formation:
        """Return a formation with an epoch that was never used before."""
        self.epoch_count += 1
        epoch = epoch_of(self.fencing, self.epoch_count)
        name = group_name(model, epoch, is_standby=is_standby)
        return Formation(name, epoch, model, members)

    async def replace(
        self,
        released: Collection[tuple[GroupProgress, Release]],
        new_formations: Collection[Formation],
        engines_by_id: Mapping[str, Engine],
    ) -> bool:
        """Delete released claims, then write new ones.

        Explanation
        ===========
        Claims of long rounds take several transactions, and each leaves a
        sound state, as engines are released before they are claimed. A
        transaction fails if a later tenure has begun. Returns whether all were
        committed; without the lease nothing is written.

        Raises
        ======
        Conflict, OutcomeUnknown, PlatformUnavailable, CallRefused
            A transaction failed; those after it were not sent.
        """
        released_by_key = {
            _key(progress): (progress, release)
            for progress, release in released
        }
        claimed_by_key = {
            _key(progress): progress
            for progress in self._storable(new_formations, engines_by_id)
        }
        writes = [
            *(Write(key, None) for key in released_by_key),
            *map(_claim, claimed_by_key.values()),
        ]
        async for write in self.writer.commit(writes):
            if write.key in released_by_key:
                self._note_release(*released_by_key.pop(write.key))
            else:
                self._note_claim(claimed_by_key.pop(write.key))
        return not (released_by_key or claimed_by_key)

    def dissolve_unclaimed(self) -> None:
        """Start to dissolve open groups that have no claim any more."""
        for listed in self._unclaimed():
            if listed.takes_requests():
                self._dissolve(listed)

    def dissolve_conflicting(self) -> None:
        """Start to dissolve groups that share engines with groups that stand.

        Explanation
        ===========
        The claims of one tenure never share engines. If the store has such
        claims nevertheless, no order must follow from the lesser one.
        """
        conflicts = conflicting_groups(
            self.groups_by_name.values(), self.directory.engines_by_id
        )
        for progress, standing in conflicts:
            name = standing.formation.name
            reason = f'shares engines with {name}'
            progress.dissolve(reason, self.clock.monotonic())
            self.metrics.count('claim_conflicts')
            self.log.note(
                'claims_conflict',
                group=progress.formation.name,
                standing=name,
            )

    async def _restore_claims(self) -> None:
        """Make up for claims that a restore of the store lost or brought back.

        Explanation
        ===========
        Claims that this process has made, and complete groups that the engines
        report, are written again. All other groups are dissolved: those that
        are incomplete, and claims of groups that ended in the lost seconds.
        """
        stored = frozenset(self.groups_by_name)
        now = self.clock.monotonic()
        if self.inherited is None:
            for progress in self.groups_by_name.values():
                if self._has_head_elsewhere(progress):
                    progress.dissolve('ended before', now)
        else:
            # What this process has released before was free by proof.
            self.groups_by_name = dict(self.inherited)
        for listed in self._unclaimed():
            if listed.is_complete(self.group_size(model_of(listed.name))):
                self.groups_by_name[listed.name] = GroupProgress(
                    listed.formation(), listed.born_by_member(), now
                )
            else:
                self._dissolve(listed)
        await self._rewrite_claims(stored)

    async def _rewrite_claims(self, stored: frozenset[str]) -> None:
        """Write the claims that the store lacks, and remove ended ones."""
        lost = self.groups_by_name.keys() - stored
        ended = stored - self.groups_by_name.keys()
        writes = [
            *(Write(GROUPS_PREFIX + name, None) for name in ended),
            *(_claim(self.groups_by_name[name]) for name in lost),
        ]
        if not writes:
            return
        count = len([write async for write in self.writer.commit(writes)])
        if count < len(writes):
            raise Conflict('the lease ended as claims were restored')
        self.log.note(
            'claims_restored', written=sorted(lost), removed=sorted(ended)
        )

    def _has_head_elsewhere(self, progress: GroupProgress) -> bool:
        head = self.directory.engines_by_id.get(progress.formation.head)
        return head is not None and not is_member(head, progress.formation)

    def _unclaimed(self) -> list[ListedGroup]:
        """Return the listed groups that have no claim."""
        return [
            listed
            for listed in listed_groups(self.directory.engines_by_id.values())
            if listed.name not in self.groups_by_name
        ]

    def _dissolve(self, listed: ListedGroup) -> None:
        now = self.clock.monotonic()
        progress = GroupProgress(
            listed.formation(), listed.born_by_member(), now
        )
        progress.dissolve('unclaimed', now)
        self.groups_by_name[listed.name] = progress

    def _storable(
        self,
        formations: Iterable[Formation],
        engines_by_id: Mapping[str, Engine],
    ) -> Iterator[GroupProgress]:
        """Yield the progress of new groups, but for claims that are too long.

        Explanation
        ===========
        The store refuses such a claim, and any transaction that it is in.
        """
        for formation in formations:
            progress = self._new_progress(formation, engines_by_id)
            if is_storable(_claim(progress)):
                yield progress
            elif formation.model not in self._unstorable_models:
                self._unstorable_models.add(formation.model)
                self.log.note('claim_too_long', model=formation.model[:100])

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
        self.groups_by_name.pop(progress.formation.name, None)
        self.metrics.count('groups_released')
        waited_s = self.clock.monotonic() - progress.dissolving_since
        self.log.note(
            'group_released',
            group=progress.formation.name,
            cause=progress.reason,
            proof=release.reason,
            after_ms=round(waited_s * 1000),
        )

    def _note_claim(self, progress: GroupProgress) -> None:
        formation = progress.formation
        self.groups_by_name[formation.name] = progress
        self.metrics.count('groups_claimed')
        self.log.note(
            'group_claimed',
            group=formation.name,
            model=formation.model,
            members=formation.members,
        )


TenureFactory = Callable[[int, Directory, Callable[[str], int]], Tenure]


def _latest_token(claims: Iterable[Claim | None]) -> int:
    """Return the highest fencing token that claims were made under."""
    tokens = (
        token_of(claim.formation.epoch) for claim in claims if claim is not None
    )
    return max((token for token in tokens if token < MAX_TOKEN), default=0)


def _key(progress: GroupProgress) -> str:
    return GROUPS_PREFIX + progress.formation.name


def _claim(progress: GroupProgress) -> Write:
    fields = encode_claim(progress.formation, progress.born_by_member)
    return Write(_key(progress), fields)
