"""Settings of the tests as a whole."""

from hypothesis import HealthCheck, settings

# The same examples each run, and no verdict by the time that a busy machine takes.
settings.register_profile(
    "repeatable",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
