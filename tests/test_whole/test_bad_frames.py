"""Tests that a bad inner frame closes its own connection only."""

from __future__ import annotations

import socket

import yaml
from parameterized import parameterized

from tests.test_whole.support import FleetTestCase, prompt

TIMEOUT_S = 10
SIDECAR = "sidecar-engine-0"


class BadFrameTests(FleetTestCase):
    @parameterized.expand(
        [
            ("no_msgpack", b"\xc1" * 64),
            ("no_hello", b"\x92\x0a\x80"),
            ("http", b"GET /"),
        ]
    )
    def test_others_go_on(self, _name: str, data: bytes) -> None:
        settings = yaml.safe_load((self.fleet.folder / f"{SIDECAR}.yaml").read_text())
        address = (settings["inner"]["host"], settings["inner"]["port"])
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.sendall(data)
            while connection.recv(4096):
                pass
        answer = self.client().post("/v1/completions", json=prompt("after a bad frame"))
        self.assertEqual(answer.status_code, 200)
        self.assertIsNone(self.fleet.processes_by_name[SIDECAR].poll())
