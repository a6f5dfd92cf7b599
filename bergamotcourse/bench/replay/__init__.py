"""Replays of loads and faults on a virtual clock, to compare scheduling policies."""
