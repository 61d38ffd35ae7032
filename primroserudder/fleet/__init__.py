"""Serving on VMs whose platform lists the upstreams and keeps the state.

Explanation
===========
Decisions stand in modules of their own that read no socket, clock or row:
``routes``, ``choice``, ``waiting``, ``repeating``, ``formations`` and
``placement``. The others do what was decided.
"""
