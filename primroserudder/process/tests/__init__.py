"""Tests of the ``process`` subpackage."""
