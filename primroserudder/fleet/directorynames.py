"""Names of groups and pools, and the models that engines joined."""

from .model import Engine, GroupState

STANDBY_SUFFIX = '.standby'


def group_name(model: str, epoch: int, *, is_standby: bool = False) -> str:
    """Return the name of a group; the name contains the model.

    Examples
    ========
    >>> group_name('small', 7), group_name('small', 8, is_standby=True)
    ('small.7', 'small.8.standby')
    """
    suffix = STANDBY_SUFFIX if is_standby else ''
    return f'{model}.{epoch}{suffix}'


def model_of(group: str) -> str:
    """Return the model that a group's name contains.

    Examples
    ========
    >>> model_of('large.v2.7'), model_of('large.7.standby')
    ('large.v2', 'large')
    """
    return group.removesuffix(STANDBY_SUFFIX).rpartition('.')[0]


def pool_name(service: str, model: str) -> str:
    """Return the name of the pool of targets for a service's model.

    Examples
    ========
    >>> pool_name('engines', 'large'), pool_name('ledger', '')
    ('engines/large', 'ledger/')
    """
    return f'{service}/{model}'


def model_joined(engine: Engine) -> str:
    """Return the model of the group that an engine has joined, or ``''``."""
    membership = engine.membership
    if membership is None or membership.state is GroupState.JOINING:
        return ''
    return model_of(membership.group)


def model_being_joined(engine: Engine) -> str:
    """Return the model of the group that an engine is joining, or ``''``."""
    membership = engine.membership
    if membership is None or membership.state is not GroupState.JOINING:
        return ''
    return model_of(membership.group)
