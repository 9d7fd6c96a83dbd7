"""Process of the service stand-in."""

from __future__ import annotations

import fire

from standins.service.app import make_app
from standins.serving import serve


def main(port: int, journal: str = "") -> None:
    """Serve the service on a port; the journal gets a line for each run."""
    serve(make_app(journal), port)


if __name__ == "__main__":
    fire.Fire(main)
