"""Settings of all tests: fixed seeds and no wall-clock bounds."""

from hypothesis import settings

settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')
