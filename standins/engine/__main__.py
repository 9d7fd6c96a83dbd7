"""Process of the engine stand-in."""

from __future__ import annotations

import fire

from standins.engine.app import make_app
from standins.engine.model import Engine, Speed
from standins.serving import serve


def main(
    port: int,
    model: str,
    capacity: int = 4096,
    prefill: float = 20_000.0,
    decode: float = 200.0,
) -> None:
    """Serve an engine on a port; speeds are in tokens a second."""
    serve(make_app(Engine(str(model), capacity, Speed(prefill, decode))), port)


if __name__ == "__main__":
    fire.Fire(main)
