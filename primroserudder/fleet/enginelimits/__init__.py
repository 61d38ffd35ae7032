"""Limits that engines name: how many requests a second they take."""
