"""Tests of the keys that authenticate routers to sidecars."""

from __future__ import annotations

import yaml
from parameterized import parameterized

from tests.test_whole.support import FleetTestCase, completion_body

OLD_KEY = "old-" + "o" * 32
NEW_KEY = "new-" + "n" * 32


class KeyTests(FleetTestCase):
    fleet_options = {"services": 0, "settings": {"inner_keys": [OLD_KEY, NEW_KEY]}}

    @parameterized.expand(
        [
            ("rotated", [NEW_KEY, OLD_KEY], 200),
            ("wrong", ["w" * 32], 503),
            ("none", [], 503),
        ]
    )
    def test_router_needs_a_key_that_sidecars_accept(
        self, _name: str, keys: list[str], status: int
    ) -> None:
        file = self.fleet.folder / "router-0.yaml"
        settings = yaml.safe_load(file.read_text())
        file.write_text(yaml.safe_dump({**settings, "inner_keys": keys}))
        self.fleet.stop("router-0")
        self.fleet.restart("router-0")
        self.fleet.wait_ready("router-0")
        response = self.client().post(
            "/v1/completions", json=completion_body("one verse")
        )
        self.assertEqual(response.status_code, status, response.text)
        if status != 200:
            self.assertEqual(response.json()["error"]["run"], "no")
            self.assertIn("peer refused", self.fleet.log("sidecar-engine-0"))
        logs = self.fleet.log("router-0") + self.fleet.log("sidecar-engine-0")
        self.assertNotIn(OLD_KEY, logs)
        self.assertEqual("inner connections are open" in logs, keys == [])
