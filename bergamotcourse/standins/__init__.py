"""Stand-ins for the external systems: the platform and the upstreams."""
