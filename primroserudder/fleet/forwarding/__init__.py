"""Requests of routers that lost their links to the engines."""
