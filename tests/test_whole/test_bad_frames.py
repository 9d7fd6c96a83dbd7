"""Tests that an invalid frame of the inner protocol closes only its own connection."""

from __future__ import annotations

import socket

import yaml
from parameterized import parameterized

from tests.test_whole.support import FleetTestCase, completion_body

TIMEOUT_S = 10
SIDECAR = "sidecar-engine-0"


class BadFrameTests(FleetTestCase):
    @parameterized.expand(
        [
            # msgpack never uses the byte c1.
            ("no_msgpack", b"\xc1" * 64),
            # A message with the code 10, Cancel, and no fields.
            ("no_hello", b"\x92\x0a\x80"),
            ("http", b"GET /"),
        ]
    )
    def test_only_its_own_connection_closes(self, _name: str, data: bytes) -> None:
        settings = yaml.safe_load((self.fleet.folder / f"{SIDECAR}.yaml").read_text())
        address = (settings["inner"]["host"], settings["inner"]["port"])
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.sendall(data)
            while connection.recv(4096):
                pass
        response = self.client().post(
            "/v1/completions", json=completion_body("after a bad frame")
        )
        self.assertEqual(response.status_code, 200)
        self.assertIsNone(self.fleet.processes_by_name[SIDECAR].poll())
