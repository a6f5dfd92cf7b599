"""A soak of the real programs: faults from outside, promises checked from outside.

Run by hand as ``python -m bergamotcourse.tests.platform.soak --seeds 50``.
"""
