"""Tests of the keys between processes."""

from __future__ import annotations

import yaml
from parameterized import parameterized

from tests.test_whole.support import FleetTestCase, prompt

OLD = "old-" + "o" * 32
NEW = "new-" + "n" * 32


class KeyTests(FleetTestCase):
    sizes = {"services": 0, "settings": {"inner_keys": [OLD, NEW]}}

    @parameterized.expand(
        [
            ("rotated", [NEW, OLD], 200),
            ("wrong", ["w" * 32], 503),
            ("none", [], 503),
        ]
    )
    def test_router_with_keys(self, _name: str, keys: list[str], status: int) -> None:
        file = self.fleet.folder / "router-0.yaml"
        settings = yaml.safe_load(file.read_text())
        file.write_text(yaml.safe_dump({**settings, "inner_keys": keys}))
        self.fleet.stop("router-0")
        self.fleet.restart("router-0")
        self.fleet.wait_ready("router-0")
        answer = self.client().post("/v1/completions", json=prompt("one verse"))
        self.assertEqual(answer.status_code, status, answer.text)
        if status != 200:
            self.assertEqual(answer.json()["error"]["run"], "no")
            self.assertIn("peer refused", self.fleet.log("sidecar-engine-0"))
        logs = self.fleet.log("router-0") + self.fleet.log("sidecar-engine-0")
        self.assertNotIn(OLD, logs)
        self.assertEqual("inner connections are open" in logs, keys == [])
