"""Builders of test data and fakes of the interfaces."""

from .fakes import FakeAnswer, FakeEngines, group_of_engines

__all__ = ('FakeAnswer', 'FakeEngines', 'group_of_engines')
