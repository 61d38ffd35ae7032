"""Builds that run side by side while VMs are replaced one after the other.

Explanation
===========
``formats`` holds the versions of formats, ``build`` the name of a build. The
tests read what earlier builds wrote, and read what this one writes by the rules
of earlier ones.
"""

from .build import build_name
from .formats import NOTICE_FORMAT, OLDEST_NOTICE_FORMAT

__all__ = ['NOTICE_FORMAT', 'OLDEST_NOTICE_FORMAT', 'build_name']
