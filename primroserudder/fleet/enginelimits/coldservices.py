"""Which services limit what their cold engines get."""

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Configuration, Engine, Service


@dataclass(frozen=True, slots=True)
class ColdServices:
    """What the configuration says of engines that are cold.

    Parameters
    ==========
    configuration : Callable
        Returns the active configuration, ``None`` before the first.
    """

    configuration: Callable[[], Configuration | None]

    def may_limit(self, engine: Engine) -> bool:
        """Return whether an engine is limited while cold, as far as known.

        Explanation
        ===========
        The list may be read before the first configuration.
        """
        return self.configuration() is None or self._limits(engine)

    def cold_start_s(self, engine: Engine) -> float:
        """Return for how long an engine is cold after its start."""
        service = self._service(engine)
        return 0 if service is None else service.cold_start_s

    def limits_target(self, engine: Engine) -> bool:
        """Return whether an engine takes requests, fewer while it is cold.

        Explanation
        ===========
        Plain engines take requests, and of groups the heads do.
        """
        service = self._service(engine)
        if service is None or not service.limits_cold_engines:
            return False
        membership = engine.membership
        is_head = membership is not None and membership.rank == 0
        return is_head or service.engine is None

    def _limits(self, engine: Engine) -> bool:
        service = self._service(engine)
        return service is not None and service.limits_cold_engines

    def _service(self, engine: Engine) -> Service | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        return configuration.services_by_name.get(engine.service)
