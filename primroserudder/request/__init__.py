"""Handles one request: checks, routing, attempts and response.

Explanation
===========
Names are imported from the modules and not from here. ``rudder-router`` uses
``dispatch`` alone; importing the others would make its start longer.
"""
