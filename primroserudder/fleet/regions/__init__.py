"""Regions to which requests of a route or a workspace are bound."""

from .rules import RegionMap, allowed_regions

__all__ = ['RegionMap', 'allowed_regions']
