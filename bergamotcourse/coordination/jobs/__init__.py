"""Dispatch of jobs whose tasks need resources, run on upstreams by start orders."""
