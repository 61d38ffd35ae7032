"""Copies of the store's tables that routers read from each other.

Explanation
===========
``relayedtables`` reads tables from relays, or else from the store, and
``tablerelay`` serves them to others. ``rowhistory`` keeps what lets large rows
travel as patches.
"""

from .relayedtables import RelayedTableSource
from .rowhistory import RowHistory
from .tablerelay import TableRelay

__all__ = ['RelayedTableSource', 'RowHistory', 'TableRelay']
