"""bergamotcourse: a dispatcher for sub-second tasks."""

__version__ = "0.1.0"
