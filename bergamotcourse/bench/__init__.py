"""Benchmarks that are run by hand; the documentation shows their results."""
