"""What a group may need next; each kind is an order or a release."""

from dataclasses import dataclass

from .model import Engine


@dataclass(frozen=True, slots=True)
class Join:
    """Order an engine into the group."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Open:
    """Order the head to take requests."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Close:
    """Order the head to take no more requests."""

    engine: Engine
    at_once: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """Order a member out of the group."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Release:
    """Drop the claim; all members are free."""

    reason: str


Order = Join | Open | Close | Leave
Action = Order | Release
