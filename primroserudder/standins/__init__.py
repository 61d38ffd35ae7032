"""Small stand-ins of the outside systems, for tests and demonstrations."""

from .engine import Engine, EngineSpeed
from .faults import EngineFaults, PlatformFaults
from .memory import MemoryPlatform

__all__ = (
    'Engine',
    'EngineFaults',
    'EngineSpeed',
    'MemoryPlatform',
    'PlatformFaults',
)
