"""Serving system for models whose replicas span several VMs.

Explanation
===========
The subpackages follow life spans: ``request`` holds what lives as long as
one request, ``connection`` what lives as long as a connection, ``version``
what belongs to one configuration version, and ``process`` what lives as
long as the process. ``standins`` holds small stand-ins of the outside
systems, and ``programs`` the command-line programs.
"""
