"""Tests of the operators' commands, run against the platform stand-in."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path

import httpx
import yaml

from standins.fleet import Fleet, default_configuration, free_ports


class OperatorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(self.folder)
        self.addCleanup(self.fleet.kill_all)
        self.fleet.ports_by_name["platform"] = free_ports(1)[0]
        port = str(self.fleet.ports_by_name["platform"])
        self.fleet.start("platform", "standins.platform", "--port", port)
        self.fleet.wait_ready("platform", "/calls")

    def test_commands_report_successive_changes(self) -> None:
        file = self.write_document({"defaults": default_configuration()})
        self.check_command(0, "no findings", "check", file)
        self.check_command(
            0, "accepted as revision 1", *self.apply_arguments(file, "ana", "start")
        )
        self.check_command(
            0,
            "nothing changes",
            *self.apply_arguments(self.write_edited_document({}), "ana", "none"),
        )
        pin = {
            "name": "pin",
            "target": {"kind": "model", "name": "songs-8b"},
            "values": {"weights_version": "2"},
            "reason": "the new weights sing flat",
            "author": "ana",
            "deadline": "2020-01-01T12:00:00+00:00",
        }
        pinned = self.write_edited_document({"exceptions": [pin]})
        self.lose_next_response()
        self.check_command(
            0, "accepted as revision 2", *self.apply_arguments(pinned, "ana", "pin")
        )
        self.check_command(0, "sing flat", "show")
        self.check_command(0, "weights_version: '2'", "show")
        conflict = self.check_command(
            3, "by ana: pin", *self.apply_arguments(pinned, "bo", "late")
        )
        self.assertIn("+ exceptions.pin", conflict)
        self.check_command(0, "+ exceptions.pin", "history")
        self.check_command(0, "+ exceptions.pin", "diff", "1", "2")
        handover = self.check_command(
            0, "due now", "handover", "--since", "2020-01-01T00:00Z"
        )
        self.assertIn("review due since 2020-01-01", handover)
        self.assertIn("revision 2", handover)

    def test_one_of_two_concurrent_applies_is_rejected(self) -> None:
        file = self.write_document({"defaults": default_configuration()})
        self.check_command(0, "revision 1", *self.apply_arguments(file, "ana", "start"))
        text = self.check_command(0, "based_on: 1", "show", "--document")
        document = yaml.safe_load(text)
        runs: list[subprocess.CompletedProcess[str]] = []

        def apply_change(tokens: int) -> None:
            document["defaults"]["models"]["songs-8b"]["context_tokens"] = tokens
            edited_file = self.write_document(document, f"{tokens}.yaml")
            runs.append(
                self.run_command(
                    *self.apply_arguments(edited_file, "bo", f"set {tokens}")
                )
            )

        threads = [
            threading.Thread(target=apply_change, args=(n,)) for n in (512, 1024)
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join(60)
        self.assertEqual(sorted(each.returncode for each in runs), [0, 3])
        rejected = next(each for each in runs if each.returncode)
        self.assertIn("by bo: set ", rejected.stderr)

    def write_document(self, document: object, name: str = "fleet.yaml") -> str:
        """Write a configuration file and return its path."""
        path = self.folder / name
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return str(path)

    def write_edited_document(self, values: dict[str, object]) -> str:
        """Write a copy of the document in force with some top-level values replaced."""
        document_text = self.check_command(0, "based_on", "show", "--document")
        return self.write_document({**yaml.safe_load(document_text), **values})

    def apply_arguments(self, file: str, author: str, reason: str) -> tuple[str, ...]:
        """Return the arguments of the command that applies a file."""
        return ("apply", file, "--author", author, "--reason", reason)

    def lose_next_response(self) -> None:
        """Let the platform stand-in drop its response to the next successful write."""
        url = f"{self.fleet.url('platform')}/faults"
        httpx.post(url, json={"lost_answers": 1}).raise_for_status()

    def check_command(self, status: int, text: str, *arguments: str) -> str:
        """Run a command, check exit status and text, and return its output."""
        run = self.run_command(*arguments)
        output = run.stdout + run.stderr
        self.assertEqual(run.returncode, status, output)
        self.assertIn(text, output)
        return output

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an agatehoist command and return its exit status and output."""
        command = [sys.executable, "-m", "agatehoist", *arguments]
        if arguments[0] != "check":
            command += ["--platform", self.fleet.url("platform")]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)
