"""Tests of request ceilings across routers and of endpoint slots."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from parameterized import parameterized

from standins.fleet import COOPERATIVE_KEY, SERVICE
from tests.test_whole.support import FleetTestCase, completion_body

if TYPE_CHECKING:
    import httpx

JOB_COUNT = 4
JOB_S = 0.2
ARCHIVE_CEILING = {"requests_per_s": 0.01}


class CeilingTests(FleetTestCase):
    fleet_options = {"routers": 2, "organisations": {"archive": ARCHIVE_CEILING}}

    def test_ceiling_holds_across_routers(self) -> None:
        self.assertEqual(self.look_up_card(0).status_code, 200)
        for router in (1, 0, 1):
            response = self.look_up_card(router)
            self.assertEqual(response.status_code, 429)
            error = response.json()["error"]
            self.assertEqual((error["code"], error["run"]), ("rate_limited", "no"))
            # The ceiling admits one request in 100 s.
            self.assertGreater(int(response.headers["retry-after"]), 50)
        client = self.client(1, COOPERATIVE_KEY)
        self.assertEqual(client.get(f"/services/{SERVICE}/cards/1").status_code, 200)

    def look_up_card(self, router: int) -> httpx.Response:
        """Look up a card through a router."""
        return self.client(router).get(f"/services/{SERVICE}/cards/1")


class SlotTests(FleetTestCase):
    fleet_options = {
        "endpoint_settings": {"slots": 1},
        "engine_options": ("--decode", "100"),
    }

    @parameterized.expand([("service",), ("engine",)])
    def test_single_slot_runs_jobs_in_sequence(self, kind: str) -> None:
        client = self.client()

        def send_job(number: int) -> int:
            if kind == "engine":
                body = completion_body(f"song {number}")
                return client.post("/v1/completions", json=body).status_code
            path = f"/services/{SERVICE}/bookings"
            body = {"reference": str(number), "delay": JOB_S}
            return client.post(path, json=body).status_code

        began_at = time.monotonic()
        with ThreadPoolExecutor(JOB_COUNT) as pool:
            statuses = list(pool.map(send_job, range(JOB_COUNT)))
        self.assertGreater(time.monotonic() - began_at, JOB_COUNT * JOB_S)
        self.assertEqual(set(statuses), {201 if kind == "service" else 200})
