"""Simple substitutes for external systems, for tests and demos."""

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
