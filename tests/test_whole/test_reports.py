"""Tests of the operators' report and status commands on running processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from parameterized import parameterized

from standins.fleet import ARCHIVE_KEY, OPERATOR_KEY, SERVICE
from tests.test_whole.support import FleetTestCase, completion_body

UNREACHABLE_URL = "http://127.0.0.1:1"


class ReportTests(FleetTestCase):
    fleet_options = {"routers": 2}

    def run_command(
        self, *arguments: str, key: str = OPERATOR_KEY
    ) -> subprocess.CompletedProcess[str]:
        """Run an agatehoist command with an operator key in its environment."""
        return subprocess.run(
            [sys.executable, "-m", "agatehoist", *arguments],
            env={**os.environ, "AGATEHOIST_OPERATOR_KEY": key},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_burn_counts_every_request_once(self) -> None:
        for router in (0, 1):
            client = self.client(router)
            client.post("/v1/completions", json=completion_body(f"song {router}"))
            client.get(f"/services/{SERVICE}/cards/{router}")
        client.post("/v1/completions", content=b"{")
        urls = ",".join(self.fleet.url(f"router-{index}") for index in (0, 1))
        run = self.run_command("report", "burn", "--routers", urls, "--form", "json")
        self.assertEqual(run.returncode, 0, run.stderr)
        report = json.loads(run.stdout)
        self.assertEqual(report["nodes"], ["router-0", "router-1"])
        totals = {
            (line["key"]["objective"], line["key"]["organisation"]): line["tallies"]
            for line in report["lines"]
            if line["key"]["organisation"] == "(all)"
        }
        # The malformed request isn't counted.
        self.assertEqual(totals["whole_answers", "(all)"]["1h"]["total"], 4)
        self.assertEqual(totals["first_token", "(all)"]["1h"]["total"], 2)

    def test_status_shows_the_fleet(self) -> None:
        urls = ",".join(self.fleet.url(f"router-{index}") for index in (0, 1))
        platform = self.fleet.url("platform")
        run = self.run_command("status", "--routers", urls, "--platform", platform)
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertIn("revision 1, 2 routers", run.stdout)
        self.assertIn("sidecar-engine-0  dc1  engine songs-8b  live", run.stdout)
        self.assertIn("0 weight loads run", run.stdout)

    @parameterized.expand([("text",), ("html",)])
    def test_burn_report_formats(self, form: str) -> None:
        url = self.fleet.url("router-0")
        run = self.run_command("report", "burn", "--routers", url, "--form", form)
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertIn("alert", run.stdout)

    @parameterized.expand(
        [
            ("wrong_key", "", ARCHIVE_KEY, 5, "401"),
            ("not_reached", f",{UNREACHABLE_URL}", OPERATOR_KEY, 5, UNREACHABLE_URL),
            ("no_key", "", "", 1, "AGATEHOIST_OPERATOR_KEY"),
        ]
    )
    def test_failed_report_names_its_cause(
        self, _name: str, extra_urls: str, key: str, status: int, text: str
    ) -> None:
        urls = self.fleet.url("router-0") + extra_urls
        run = self.run_command("report", "burn", "--routers", urls, key=key)
        self.assertEqual(run.returncode, status)
        self.assertIn(text, run.stderr)
        self.assertNotIn("Traceback", run.stderr)
