"""The adapter to the users' platform: its names, formats and HTTP calls.

It contains no dispatching decisions.
"""
