"""Measures slopes and computes the capacity page from them."""
