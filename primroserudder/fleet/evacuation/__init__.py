"""Evacuation of failure domains: their engines get no new requests.

Explanation
===========
Operators name the domains in rows of the platform's store. ``evacuations``
holds the domains as this VM knows them and decides which targets may get
requests.
"""

from .evacuations import Evacuations

__all__ = ['Evacuations']
