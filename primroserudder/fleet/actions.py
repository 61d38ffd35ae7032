"""Actions that a group may need: orders to engines, or its release."""

from dataclasses import dataclass

from .model import Engine


@dataclass(frozen=True, slots=True)
class Join:
    """Order an engine to join the group."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Open:
    """Order the head to take requests."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Close:
    """Order the head to stop taking requests.

    Explanation
    ===========
    With ``at_once`` it does not finish its running requests first.
    """

    engine: Engine
    at_once: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """Order a member to leave the group."""

    engine: Engine


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the claim, which makes all members free."""

    reason: str


Order = Join | Open | Close | Leave
Action = Order | Release
