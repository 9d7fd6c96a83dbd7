"""Process of the service stand-in."""

from __future__ import annotations

import fire

from standins.service.app import make_app
from standins.serving import serve


def main(port: int) -> None:
    """Serve the service on a port."""
    serve(make_app(), port)


if __name__ == "__main__":
    fire.Fire(main)
