"""Command that runs the service stand-in."""

from __future__ import annotations

import fire

from standins.server import serve
from standins.service.app import make_app


def main(port: int, journal: str = "") -> None:
    """Serve the service on a port; append a line to the journal for each booking."""
    serve(make_app(journal), port)


if __name__ == "__main__":
    fire.Fire(main)
