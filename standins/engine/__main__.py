"""Command that runs the engine stand-in."""

from __future__ import annotations

import fire

from standins.engine.app import make_app
from standins.engine.events import CacheFaults
from standins.engine.model import ANSWER_TOKENS, Engine, Speed
from standins.engine.orders import OrderHandler, WeightLoader
from standins.server import serve


def main(
    port: int,
    model: str,
    capacity: int = 4096,
    prefill: float = 20_000.0,
    decode: float = 200.0,
    answer: int = ANSWER_TOKENS,
    fencing: bool = False,
    weights: str = "",
    event_delay: float = 0.0,
    event_loss: float = 0.0,
    load_lag: float = 0.0,
    keep_blocks: bool = False,
) -> None:
    """Serve an engine on a port.

    capacity is in cached blocks, prefill and decode are in tokens a second, and answer
    is the length of an answer without a limit, in tokens. With fencing, the engine
    rejects orders with an old fencing number. weights is the URL of the platform
    stand-in that the engine loads weights from. Cache events are sent event_delay
    seconds late or, with the probability event_loss, not at all; load reports are
    load_lag seconds old. keep_blocks keeps the cached blocks when the weights change.
    """
    faults = CacheFaults(event_delay, event_loss, load_lag, keep_blocks)
    engine = Engine(str(model), capacity, Speed(prefill, decode), answer, faults)
    orders = OrderHandler(engine, fencing, WeightLoader(weights).load)
    serve(make_app(engine, orders), port)


if __name__ == "__main__":
    fire.Fire(main)
