"""The rows by which roll-outs are halted, resumed or done in place."""

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
# A group of a new version that does not serve by then has failed.
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
    """What stands in the way of a roll-out, or lets it go on."""

    is_halted: bool = False
    is_in_place: bool = False
    failed: GroupRecord | None = None


@dataclass(slots=True)
class RolloutRows:
    """Judges roll-outs of one failure domain and halts failed ones."""

    platform: PlatformClient
    failure_domain: str
    forming_since_by_deployment: dict[str, dict[str, float]] = field(
        default_factory=dict,
    )

    async def judge(
        self,
        deployment: str,
        view: DeploymentView,
        clock: Clock,
    ) -> RolloutFlags:
        """Return what stands of a deployment's roll-out.

        Explanation
        ===========
        A row holds for one model version only, so that the next change of
        the configuration begins a new roll-out.
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
        known = self.forming_since_by_deployment.get(deployment, {})
        # Only those that form now are kept, as names are used again.
        since = {
            group.group_id: known.get(group.group_id, now) for group in forming
        }
        self.forming_since_by_deployment[deployment] = since
        return [
            group
            for group in forming
            if now - since[group.group_id] > ROLLOUT_TIMEOUT_S
        ]


def _flags(row: Row | None, version: str) -> RolloutFlags:
    if row is None or row.fields['model_version'] != version:
        return RolloutFlags()
    return RolloutFlags(
        is_halted=bool(row.fields['is_halted']),
        is_in_place=bool(row.fields['is_in_place']),
    )


class RolloutUnknown(RudderError):
    """There is no such deployment to roll out."""

    code = 'rollout_unknown'
    status = 404
    default_remedy = 'name a model deployment of the version in force'


@dataclass(slots=True)
class RolloutControl:
    """Takes operators' orders for roll-outs."""

    platform: PlatformClient
    holder: VersionHolder

    async def steer(
        self,
        failure_domain: str,
        deployment: str,
        *,
        is_halted: bool,
        is_in_place: bool,
    ) -> JsonObject:
        """Write how the roll-out of the configured version shall go on."""
        document = self.holder.current.rendered.document
        found = document.deployments.get(deployment)
        if not isinstance(found, ModelDeployment):
            raise RolloutUnknown(f'got {deployment!r}: expected a deployment')
        fields: JsonObject = {
            'model_version': found.model_version,
            'is_halted': is_halted,
            'is_in_place': is_in_place,
            'reason': 'ordered by an operator',
        }
        key = rollout_key(failure_domain, deployment)
        write = Transaction((), (Write(key, fields),))
        await retry_platform_call(lambda: self.platform.commit(write))
        return fields
