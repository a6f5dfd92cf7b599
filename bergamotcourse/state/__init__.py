"""State kept by a process: ledgers, start logs and configuration."""
