"""Fleets that run in one process on a virtual clock, for scenarios and benchmarks."""
