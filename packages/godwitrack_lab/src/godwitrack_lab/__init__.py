"""Test doubles, simulations and benchmarks for developing godwitrack; not shipped."""
