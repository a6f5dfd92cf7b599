"""Fault-injection soak tests that run the real programs as black boxes.

Faults are injected, and guarantees are checked, from outside the processes.

Run by hand as ``python -m bergamotcourse.tests.platform.soak --seeds 50``.
"""
