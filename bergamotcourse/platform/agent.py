"""Entry point of a worker's agent: ``python3 -m bergamotcourse.platform.agent``."""

import signal
import sys


def main() -> int:
    """Run the process, and return its exit code."""
    # The default action of the signal would end a process that is still importing its
    # modules. Changed settings are found without the signal too.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bergamotcourse.platform.agent_machine import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
