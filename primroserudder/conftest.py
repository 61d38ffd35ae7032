"""Hypothesis settings of all tests: fixed seeds, no wall-clock deadline."""

from hypothesis import settings

settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')
