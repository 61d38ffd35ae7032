"""Builders of test data and fakes at the interfaces."""

from .fakes import FakeAnswer, FakeEngines, group_of_engines

__all__ = ('FakeAnswer', 'FakeEngines', 'group_of_engines')
