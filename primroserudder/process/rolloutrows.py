"""The rows that halt roll-outs, resume them or allow them in place."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from ..errors import RudderError
from ..version.document import ModelDeployment
from ..version.holder import VersionHolder
from .clock import Clock
from .groups import GroupRecord, GroupState
from .platform import JsonObject, PlatformClient, Row, Transaction, Write
from .retries import retry_platform_call
from .rollout import DeploymentView, is_current

ROLLOUT_PREFIX = 'rollouts/'
# A group of a new version has failed if it does not serve within this time.
ROLLOUT_TIMEOUT_S = 900


def rollout_key(failure_domain: str, deployment: str) -> str:
    """Return the key of a roll-out's row.

    Examples
    ========
    >>> rollout_key('ub-1', 'ledger-model')
    'rollouts/ub-1/ledger-model'
    """
    return f'{ROLLOUT_PREFIX}{failure_domain}/{deployment}'


@dataclass(frozen=True, slots=True)
class RolloutFlags:
    """Whether a roll-out is halted or in place, and which group failed."""

    is_halted: bool = False
    is_in_place: bool = False
    failed: GroupRecord | None = None


@dataclass(slots=True)
class RolloutRows:
    """Reads roll-out flags of a failure domain and halts failed roll-outs."""

    platform: PlatformClient
    failure_domain: str
    forming_since_by_deployment: dict[str, dict[str, float]] = field(
        default_factory=dict,
    )

    async def update_flags(
        self,
        deployment: str,
        view: DeploymentView,
        clock: Clock,
    ) -> RolloutFlags:
        """Return the flags of a roll-out and halt it if a group is overdue.

        Explanation
        ===========
        A row is valid for one model version only, so that the next change of
        the version starts a new roll-out.
        """
        overdue = self._overdue(deployment, view, clock.monotonic())
        if all(is_current(group, view.deployment) for group in view.groups):
            return RolloutFlags()
        key = rollout_key(self.failure_domain, deployment)
        row = await self.platform.read(key)
        version = view.deployment.model_version
        flags = _flags(row, version)
        if not overdue or flags.is_halted:
            return flags
        failed = overdue[0]
        reason = f'group {failed.group_id} did not come to serve'
        fields = {
            'model_version': version,
            'is_halted': True,
            'is_in_place': flags.is_in_place,
            'reason': reason,
        }
        try:
            await self.platform.commit(Transaction((), (Write(key, fields),)))
        except RudderError:
            return flags
        logger.error('roll-out of {} is halted: {}', version, reason)
        return RolloutFlags(
            is_halted=True,
            is_in_place=flags.is_in_place,
            failed=failed,
        )

    def _overdue(
        self,
        deployment: str,
        view: DeploymentView,
        now: float,
    ) -> Sequence[GroupRecord]:
        forming = [
            group
            for group in view.groups
            if group.state is GroupState.FORMING
            and is_current(group, view.deployment)
        ]
        previous = self.forming_since_by_deployment.get(deployment, {})
        # Only groups that are forming now are kept, as group ids are reused.
        forming_since = {
            group.group_id: previous.get(group.group_id, now)
            for group in forming
        }
        self.forming_since_by_deployment[deployment] = forming_since
        return [
            group
            for group in forming
            if now - forming_since[group.group_id] > ROLLOUT_TIMEOUT_S
        ]


def _flags(row: Row | None, version: str) -> RolloutFlags:
    if row is None or row.fields['model_version'] != version:
        return RolloutFlags()
    return RolloutFlags(
        is_halted=bool(row.fields['is_halted']),
        is_in_place=bool(row.fields['is_in_place']),
    )


class RolloutUnknown(RudderError):
    """There is no model deployment of that name."""

    code = 'rollout_unknown'
    status = 404
    default_remedy = 'name a model deployment of the version in force'


@dataclass(slots=True)
class RolloutControl:
    """Lets operators halt, resume or change roll-outs."""

    platform: PlatformClient
    holder: VersionHolder

    async def set_flags(
        self,
        failure_domain: str,
        deployment: str,
        *,
        is_halted: bool,
        is_in_place: bool,
    ) -> JsonObject:
        """Write the flags for the roll-out of the configured version."""
        document = self.holder.current.rendered.document
        configured = document.deployments.get(deployment)
        if not isinstance(configured, ModelDeployment):
            raise RolloutUnknown(
                f'got {deployment!r}: expected a model deployment'
            )
        fields: JsonObject = {
            'model_version': configured.model_version,
            'is_halted': is_halted,
            'is_in_place': is_in_place,
            'reason': 'ordered by an operator',
        }
        key = rollout_key(failure_domain, deployment)
        write = Transaction((), (Write(key, fields),))
        await retry_platform_call(lambda: self.platform.commit(write))
        return fields
