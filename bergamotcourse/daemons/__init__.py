"""Entry points, HTTP APIs, logs and metrics of the entry and agent processes."""
