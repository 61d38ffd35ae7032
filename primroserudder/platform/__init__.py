"""Adapter for the users' platform: its wire names, formats and calls.

Explanation
===========
This package makes no decisions. It decodes rows, header fields and engine
reports into the types of ``fleet.model`` and ``process``, and encodes rows,
header fields and orders from them. No other package uses the platform's wire
names.
"""

from .configuration import (
    ConfigurationDecoder,
    UnreadableConfiguration,
    configuration_version,
    decode_configuration,
)
from .enginelist import (
    EngineReport,
    decode_engine,
    decode_report,
    engine_row_age,
)
from .evacuations import EvacuationRows, decode_evacuations
from .orders import ORDER_TIMEOUT_S, EngineOrders, OrderOutcome
from .store import PlatformStore
from .transactionlimits import MAX_ENTRIES, is_storable, split_writes

__all__ = (
    'MAX_ENTRIES',
    'ORDER_TIMEOUT_S',
    'ConfigurationDecoder',
    'EngineOrders',
    'EngineReport',
    'EvacuationRows',
    'OrderOutcome',
    'PlatformStore',
    'UnreadableConfiguration',
    'configuration_version',
    'decode_configuration',
    'decode_engine',
    'decode_evacuations',
    'decode_report',
    'engine_row_age',
    'is_storable',
    'split_writes',
)
