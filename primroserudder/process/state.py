"""The state dump of a process."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

Section = Callable[[], object]


@dataclass(slots=True)
class StateDump:
    """The sections of the state dump by name, computed on request."""

    sections_by_name: dict[str, Section] = field(default_factory=dict)

    def register(self, name: str, section: Section) -> None:
        """Add a section, or replace the one with the same name."""
        self.sections_by_name[name] = section

    def collect(self) -> Mapping[str, object]:
        """Compute and return all sections by name."""
        return {name: build() for name, build in self.sections_by_name.items()}
