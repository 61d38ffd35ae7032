"""The state dump of a process."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

Section = Callable[[], object]


@dataclass(slots=True)
class StateDump:
    """Sections of the state dump, by name; each is made on request."""

    sections_by_name: dict[str, Section] = field(default_factory=dict)

    def register(self, name: str, section: Section) -> None:
        """Add a section."""
        self.sections_by_name[name] = section

    def collect(self) -> Mapping[str, object]:
        """Return all sections."""
        return {name: make() for name, make in self.sections_by_name.items()}
