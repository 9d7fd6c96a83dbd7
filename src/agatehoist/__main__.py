"""Entry point of ``python -m agatehoist``."""

from __future__ import annotations

from agatehoist.cli import main

if __name__ == "__main__":
    main()
