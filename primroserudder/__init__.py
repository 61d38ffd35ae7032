"""Serving system for models whose replicas span several VMs.

Explanation
===========
The subpackages are divided by the lifetime of their state: ``request`` holds
state of one request, ``connection`` of one connection, ``version`` of one
configuration version, and ``process`` of the whole process. ``standins``
holds simple substitutes for the external systems, and ``programs`` the
command-line programs.
"""
