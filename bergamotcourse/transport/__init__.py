"""Transports: HTTP connections and message links between processes."""
