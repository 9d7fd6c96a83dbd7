"""Command that runs the platform stand-in."""

from __future__ import annotations

import fire

from standins.platform.app import make_app
from standins.server import serve


def main(port: int) -> None:
    """Serve the platform on a port."""
    serve(make_app(), port)


if __name__ == "__main__":
    fire.Fire(main)
