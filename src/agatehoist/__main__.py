"""Entry point of the ``agatehoist`` command and of ``python -m agatehoist``."""

from __future__ import annotations

import signal


def run() -> None:
    """Run the command that the command line names."""
    # SIGHUP requests a reload but ends a process that has no handler for it yet,
    # so it is ignored before the slow imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from agatehoist.cli import main

    main()


if __name__ == "__main__":
    run()
