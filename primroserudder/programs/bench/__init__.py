"""Measures slopes and works the capacity page out from them."""
