"""Rebalancing: engines follow the load from one model to another.

Explanation
===========
The configuration's shares say how the load is split between the models at the
start; the load itself may be split otherwise. ``conversions`` says which
groups are dissolved for a model that is short, ``alternates`` which hosts get
a second model beforehand, so that a conversion needs no load of weights.
``rebalancer`` acts on these decisions on the lease holder.
"""

from .rebalancer import Rebalancer

__all__ = ('Rebalancer',)
