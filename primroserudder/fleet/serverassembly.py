"""Assembles the component of a router that serves requests."""

from collections.abc import Callable, Collection

from ..platform import open_session
from .caretaking import Surroundings
from .contacts import Contacts
from .health import TargetHealth
from .loadbook import LoadBook
from .retries import RetryBudgets
from .serving import Server
from .siteview import SiteView
from .strikes import StrikeBook

ENGINE_SESSION_TIMEOUT_S = 60.0


def assemble_server(
    environment: Surroundings,
    view: SiteView,
    book: LoadBook,
    contacts: Contacts,
    broken_groups: Callable[[], Collection[str]],
) -> Server:
    """Return the server that assigns requests to engines and sends them."""
    retry_settings = environment.settings.repeats
    return Server(
        environment.settings.failure_domain,
        open_session(ENGINE_SESSION_TIMEOUT_S, keeps_connections=False),
        environment.clock,
        view.directory,
        book,
        TargetHealth(environment.clock),
        StrikeBook(),
        environment.log,
        environment.metrics,
        RetryBudgets(
            retry_settings.ratio, retry_settings.extra, retry_settings.window_s
        ),
        contacts.count,
        broken_groups,
    )
