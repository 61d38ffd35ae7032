"""Builders of cold engines and of services that limit what these get."""

from dataclasses import dataclass, field

from ..fleet.enginelimits import (
    ColdEngines,
    ColdServices,
)
from ..fleet.model import Configuration, Service, Target
from ..process.clock import Clock
from ..process.decisions import DecisionLog
from .fleetdata import SPEC, target

Inputs = dict[str, object]

COLD_START_S = 3.0
COLD_PER_S = 18.0


@dataclass(slots=True)
class NotedLog(DecisionLog):
    """Keeps the lines in place of writing them."""

    lines: list[tuple[str, Inputs]] = field(default_factory=list)

    def note(self, decision: str, **inputs: object) -> None:
        """Keep a line."""
        self.lines.append((decision, inputs))

    def named(self, decision: str) -> list[Inputs]:
        """Return the inputs of all lines of a decision."""
        return [inputs for name, inputs in self.lines if name == decision]


def cold_configuration(
    cold_start_s: float = COLD_START_S, cold_per_s: float = COLD_PER_S
) -> Configuration:
    """Return a configuration with a model service and a plain one."""
    services = (
        Service('model', 50, SPEC, cold_start_s, cold_per_s),
        Service('ledger', 50, None, cold_start_s, cold_per_s),
    )
    by_name = {service.name: service for service in services}
    return Configuration(1, {}, by_name, {}, has_workspaces=False)


def cold_engines(
    clock: Clock,
    log: DecisionLog | None = None,
    configuration: Configuration | None = None,
) -> ColdEngines:
    """Return what a VM knows once it has read the list during traffic."""
    known = configuration or cold_configuration()
    engines = ColdEngines(
        clock,
        log or NotedLog(),
        ColdServices(lambda: known),
        has_traffic=lambda: True,
    )
    engines.note_list_read()
    return engines


def no_cold_engines(clock: Clock) -> ColdEngines:
    """Return what a VM knows of services that don't limit cold engines."""
    return cold_engines(clock, configuration=cold_configuration(0, 0))


def cold_target(
    engine_id: str,
    cold_per_s: float = COLD_PER_S,
    born_ms: int = 1,
    domain: str = 'fd-1',
) -> Target:
    """Return a target of a service that limits what cold engines get."""
    plain = target(engine_id, 1000, domain, born_ms)
    return Target(
        plain.engine_id,
        plain.address,
        plain.failure_domain,
        plain.slots,
        born_ms=plain.born_ms,
        cold_start_s=COLD_START_S,
        cold_per_s=cold_per_s,
    )
