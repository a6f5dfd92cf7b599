"""Jobs whose tasks need resources, run by upstreams that take orders."""
