"""A small scenario language: faults and requests on a fleet, and expectations."""
