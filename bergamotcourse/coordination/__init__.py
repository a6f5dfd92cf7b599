"""Coordination of processes: routing, claims, leases and membership."""
