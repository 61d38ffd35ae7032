"""Data model of the fleet: configuration, engines and groups.

Explanation
===========
The platform adapter decodes its rows into these types, and all decisions are
made on them.
"""

from ...intake.limits import IntakeLimits
from .addresses import is_address
from .configuration import (
    CallerLimits,
    Configuration,
    EngineSpec,
    EngineTimes,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from .engines import (
    ColdTime,
    Engine,
    Formation,
    GroupState,
    Membership,
    Target,
)

__all__ = (
    'CallerLimits',
    'ColdTime',
    'Configuration',
    'Engine',
    'EngineSpec',
    'EngineTimes',
    'Formation',
    'GroupState',
    'IntakeLimits',
    'Membership',
    'ModelSpec',
    'RequestKind',
    'Route',
    'Service',
    'ServiceShare',
    'Target',
    'Workspace',
    'is_address',
)
