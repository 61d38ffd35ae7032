"""Copies of the store's tables that routers read from each other."""

from .progress import ReadProgress
from .readlog import ReadLog

__all__ = ['ReadLog', 'ReadProgress']
