"""Entry point of the ``agatehoist`` command and of ``python -m agatehoist``."""

from __future__ import annotations

import signal


def run() -> None:
    """Run the command that the arguments name."""
    # A hangup asks for a reload and would end a process that doesn't listen to it yet,
    # so it is ignored before anything that takes time is imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from agatehoist.cli import main

    main()


if __name__ == "__main__":
    run()
