"""Tests of the commands for the users' platform's files and store."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import anyio
import anyio.to_thread
from parameterized import parameterized

from agatehoist.cli import main
from agatehoist.gateway.nodes import NODE_KIND
from standins.fleet import Fleet
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    configuration,
    run_standins,
)
from standins.users_platform.loopback import HOST
from standins.users_platform.processes import write_settings
from tests.test_platform.odd_entries import DEEP_LIST, ENDLESS_DIGITS, ODD_SPECS

EXIT_FAILED = 1
EXIT_INVALID = 2
NAME = "gateway-0"


def run_command(*arguments: str) -> tuple[int, str]:
    """Run a platform command and return its exit status and its output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(("platform", *arguments))
        except SystemExit as ended:
            return int(ended.code or 0), output.getvalue()
    return 0, output.getvalue()


class CheckTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("whole", json.dumps(configuration()), 0, "no findings"),
            ("no_json", "{", EXIT_INVALID, "invalid JSON"),
            ("deep", DEEP_LIST, EXIT_INVALID, "invalid JSON"),
            ("deep_field", f'{{"Routes": {DEEP_LIST}}}', EXIT_INVALID, "invalid JSON"),
            (
                "digits",
                f'{{"Version": {ENDLESS_DIGITS}}}',
                EXIT_INVALID,
                "invalid JSON",
            ),
            ("surrogate", r'{"Version": "\ud800"}', EXIT_INVALID, "invalid JSON"),
            (
                "wrong_kind",
                json.dumps(configuration()).replace('"stream"', '"river"'),
                EXIT_INVALID,
                "Routes[2].Kind",
            ),
        ]
    )
    def test_check_reports_findings_of_a_configuration(
        self, _name: str, text: str, expected: int, shown: str
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "configuration.json"
            path.write_text(text, encoding="utf-8")
            status, output = run_command("check", "--configuration", str(path))
        self.assertEqual(status, expected, output)
        self.assertIn(shown, output)

    @parameterized.expand(
        [("whole", "Zone", 0, "no findings"), ("no_zone", "Area", EXIT_INVALID, "Zone")]
    )
    def test_check_reports_findings_of_settings(
        self, _name: str, field: str, expected: int, shown: str
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            path = write_settings(fleet, NAME, 1)
            path.write_text(path.read_text().replace("Zone", field))
            status, output = run_command("check", "--settings", str(path))
        self.assertEqual(status, expected, output)
        self.assertIn(shown, output)


class PreviewTests(unittest.TestCase):
    # Guards against an exit status that lets a wrong configuration pass in a script,
    # and against a comparison with another object than the one in force.
    @parameterized.expand(
        [
            ("no_change", configuration(), 0, "no findings"),
            ("warning", configuration(4, Routes=[]), 0, "warning: Services.engines: "),
            ("ignored", configuration(2), EXIT_FAILED, "error: Version: not above 3"),
            ("odd", {"Routes": 5}, EXIT_FAILED, "error: Routes: a list expected"),
        ]
    )
    def test_preview_compares_with_the_file_or_the_store(
        self, _name: str, spec: dict[str, object], expected: int, shown: str
    ) -> None:
        async def run(folder: str) -> None:
            harness = GatewayHarness()
            harness.store.put("config", "main", configuration())
            draft, in_force = Path(folder) / "draft.json", Path(folder) / "force.json"
            draft.write_text(json.dumps(spec), encoding="utf-8")
            in_force.write_text(json.dumps(configuration()), encoding="utf-8")
            async with run_standins(harness) as port:
                settings = write_settings(Fleet(Path(folder)), NAME, port)
                for option in (f"--in-force={in_force}", f"--settings={settings}"):
                    status, output = await anyio.to_thread.run_sync(
                        run_command, "preview", str(draft), option
                    )
                    self.assertEqual(status, expected, output)
                    self.assertIn(shown, output)

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(run, folder)


class StatusTests(unittest.TestCase):
    def test_status_shows_the_stored_objects_and_names_invalid_ones(self) -> None:
        async def run() -> str:
            harness = GatewayHarness()
            harness.store.put("versions", MODEL, {"Model": MODEL, "Version": 2})
            harness.store.put("servers", "broken", {"Service": 7})
            for name, odd in ODD_SPECS.items():
                if "megabyte" not in name and "deep" not in name:
                    harness.store.put("servers", f"odd-{name}", odd)
            harness.store.put("servers", "deep", ODD_SPECS["deep_mapping"])
            harness.store.put(NODE_KIND, "n\x1b[2J", {"host": HOST, "port": 10**30})
            async with run_standins(harness) as port:
                with tempfile.TemporaryDirectory() as folder:
                    path = write_settings(Fleet(Path(folder)), NAME, port)
                    status, output = await anyio.to_thread.run_sync(
                        run_command, "status", str(path)
                    )
            self.assertEqual(status, 0, output)
            return output

        output = anyio.run(run)
        for line in (
            r"^configuration  3$",
            r"^nodes          str 'n\\x1b\[2J'$",
            rf"^weights        {MODEL} 2$",
            rf"^endpoint       engine-0@\d+ engines {MODEL} 1$",
            r"^not understood broken: ",
            r"^not understood deep: ",
            r"^not understood odd-address_port_of_many_digits: ",
        ):
            self.assertRegex(output, f"(?m){line}")
