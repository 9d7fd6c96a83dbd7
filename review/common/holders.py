"""The deployment of the cases on orders, and the check of the holders' turns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from deployments import MODEL, SONGS, configuration
from gateways import BROKEN, HELD, Gateways, Record
from runners import ModelRunner, Order
from store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

LEASE_S = 3.0


class Deployment:
    """Hold a store, model runners and gateways; the gateways' writes are recorded."""

    def __init__(self, record: Record, store: Store, models: tuple[str, ...]) -> None:
        self.record = record
        self.store = store
        self.models = models
        self.runners = [
            ModelRunner(f"127.0.0.{31 + n}", f"i-{n}", SONGS, store, *models)
            for n in range(2)
        ]
        self.gateways: Gateways

    @property
    def orders(self) -> list[Order]:
        """Return the orders that the runners have received, the first one first."""
        orders = [order for each in self.runners for order in each.orders]
        return sorted(orders, key=lambda each: each.at)

    def name_weights(self, model: str, version: int) -> None:
        """Name new weights, as the operator does."""
        self.store.put("versions", model, {"Model": model, "Version": version})
        self.record.write(f"weights {version} of {model} named")

    def all_have(self, model: str, version: int) -> bool:
        """Return whether all runners have loaded weights."""
        return all(each.versions[model] == version for each in self.runners)

    def note_write(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Record a write of a gateway."""
        revision = value["Metadata"]["Revision"]
        self.record.write(f"write {kind}/{name} revision {revision}")


async def run_deployment(
    record: Record,
    play: Callable[[Deployment], Awaitable[None]],
    gateway_count: int,
    models: tuple[str, ...] = (MODEL,),
) -> int:
    """Run a deployment, play on it and return whether the rule held."""
    store = Store("127.0.0.2")
    await store.listen()
    store.put("config", "main", configuration(models))
    deployment = Deployment(record, store, models)
    for model in models:
        deployment.name_weights(model, 1)
    for runner in deployment.runners:
        await runner.listen()
        runner.register()
    gateways = deployment.gateways = Gateways(record, store.address, gateway_count)
    try:
        for gateway in gateways.all:
            gateways.start(gateway)
        await gateways.wait_ready()
        await play(deployment)
    finally:
        gateways.close()
    return _result(record, deployment.orders)


def _result(record: Record, orders: Iterable[Order]) -> int:
    """Record the orders; return whether the holders kept their turns."""
    result = HELD
    last_by_runner: dict[str, Order] = {}
    for order in orders:
        record.write(f"received {order}", order.at)
        last = last_by_runner.get(order.runner)
        last_by_runner[order.runner] = order
        if last is None or last.holder == order.holder:
            continue
        passed = order.at - last.at
        text = (
            f"{order.runner}: {last.holder}, then {order.holder} {passed:.3f} s later"
        )
        if passed < LEASE_S:
            record.write(f"BROKEN, within the lease: {text}")
            result = BROKEN
        if last.token == order.token:
            record.write(f"BROKEN, both with token {order.token}: {text}")
            result = BROKEN
    return result
