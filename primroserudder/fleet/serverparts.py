"""Puts together the part of a router that serves requests."""

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
    around: Surroundings,
    view: SiteView,
    book: LoadBook,
    contacts: Contacts,
    broken_groups: Callable[[], Collection[str]],
) -> Server:
    """Return what finds places for requests and sends them."""
    repeats = around.settings.repeats
    return Server(
        around.settings.failure_domain,
        open_session(ENGINE_SESSION_TIMEOUT_S, keeps_connections=False),
        around.clock,
        view.directory,
        book,
        TargetHealth(around.clock),
        StrikeBook(),
        around.log,
        around.metrics,
        RetryBudgets(repeats.ratio, repeats.extra, repeats.window_s),
        contacts.count,
        broken_groups,
    )
