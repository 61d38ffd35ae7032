"""Generated messages and services of the peers protocol."""
