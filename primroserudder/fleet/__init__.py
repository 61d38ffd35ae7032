"""Serving on VMs whose platform lists the upstreams and stores the state.

Explanation
===========
The decisions are made in modules that read no socket, clock or stored row:
``routes``, ``balancing``, ``retries``, ``demand``, ``group_lifecycle``,
``placement`` and ``preloading``. The other modules carry the decisions out.
"""
