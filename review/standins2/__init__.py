"""Stand-ins and a launcher for the scripts of the second review."""
