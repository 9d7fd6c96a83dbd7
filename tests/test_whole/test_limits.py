"""Tests of ceilings and slots over processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from parameterized import parameterized

from standins.fleet import COOPERATIVE_KEY, SERVICE
from tests.test_whole.support import FleetTestCase, prompt

if TYPE_CHECKING:
    import httpx

JOBS = 4
JOB_S = 0.2
ARCHIVE_CEILING = {"requests_per_s": 0.01}


class CeilingTests(FleetTestCase):
    sizes = {"routers": 2, "organisations": {"archive": ARCHIVE_CEILING}}

    def test_ceiling_holds_across_routers(self) -> None:
        self.assertEqual(self.ask(0).status_code, 200)
        for router in (1, 0, 1):
            answer = self.ask(router)
            self.assertEqual(answer.status_code, 429)
            error = answer.json()["error"]
            self.assertEqual((error["code"], error["run"]), ("rate_limited", "no"))
            self.assertGreater(int(answer.headers["retry-after"]), 50)
        client = self.client(1, COOPERATIVE_KEY)
        self.assertEqual(client.get(f"/services/{SERVICE}/cards/1").status_code, 200)

    def ask(self, router: int) -> httpx.Response:
        """Return the answer to a lookup through a router."""
        return self.client(router).get(f"/services/{SERVICE}/cards/1")


class SlotTests(FleetTestCase):
    sizes = {
        "endpoint_settings": {"slots": 1},
        "engine_options": ("--decode", "100"),
    }

    @parameterized.expand([("service",), ("engine",)])
    def test_all_pass_one_after_another(self, kind: str) -> None:
        client = self.client()

        def ask(number: int) -> int:
            if kind == "engine":
                body = prompt(f"song {number}")
                return client.post("/v1/completions", json=body).status_code
            path = f"/services/{SERVICE}/bookings"
            body = {"reference": str(number), "delay": JOB_S}
            return client.post(path, json=body).status_code

        began_at = time.monotonic()
        with ThreadPoolExecutor(JOBS) as pool:
            statuses = list(pool.map(ask, range(JOBS)))
        self.assertGreater(time.monotonic() - began_at, JOBS * JOB_S)
        self.assertEqual(set(statuses), {201 if kind == "service" else 200})
