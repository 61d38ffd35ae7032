"""Serving on VMs whose platform lists the upstreams and stores the state.

Explanation
===========
The decisions are made in modules that read no socket, clock or stored row:
``routes``, ``balancing``, ``retries``, ``demand``, ``group_lifecycle``,
``placement``, ``preloading`` and ``membership.tree``. The other modules carry
the decisions out. ``membership`` holds what the routers tell each other,
``enginelimits`` the limits that engines name, ``crashes`` what crashes engines,
and ``forwarding`` what a router without links to engines does.
"""
