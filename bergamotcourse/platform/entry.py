"""Entry point of an entry: ``python3 -m bergamotcourse.platform.entry``.

Each role has its own module and there is no command line, so that a start imports
neither an argument parser nor the other role's modules.
"""

import signal
import sys


def main() -> int:
    """Run the process, and return its exit code."""
    # The default action of the signal would end a process that is still importing its
    # modules. Changed settings are found without the signal too.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bergamotcourse.platform.entry_machine import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
