"""Tests of the operators' commands against the platform stand-in."""

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

    def test_a_day_of_changes(self) -> None:
        file = self.write({"defaults": default_configuration()})
        self.expect(0, "no findings", "check", file)
        self.expect(0, "accepted as revision 1", *self.apply(file, "ana", "start"))
        self.expect(0, "nothing changes", *self.apply(self.edit({}), "ana", "none"))
        pin = {
            "name": "pin",
            "target": {"kind": "model", "name": "songs-8b"},
            "values": {"weights_version": "2"},
            "reason": "the new weights sing flat",
            "author": "ana",
            "deadline": "2020-01-01T12:00:00+00:00",
        }
        pinned = self.edit({"exceptions": [pin]})
        self.lose_an_answer()
        self.expect(0, "accepted as revision 2", *self.apply(pinned, "ana", "pin"))
        self.expect(0, "sing flat", "show")
        self.expect(0, "weights_version: '2'", "show")
        late = self.expect(3, "by ana: pin", *self.apply(pinned, "bo", "late"))
        self.assertIn("+ exceptions.pin", late)
        self.expect(0, "+ exceptions.pin", "history")
        self.expect(0, "+ exceptions.pin", "diff", "1", "2")
        lines = self.expect(0, "due now", "handover", "--since", "2020-01-01T00:00Z")
        self.assertIn("review due since 2020-01-01", lines)
        self.assertIn("revision 2", lines)

    def test_two_commands_at_one_time(self) -> None:
        file = self.write({"defaults": default_configuration()})
        self.expect(0, "revision 1", *self.apply(file, "ana", "start"))
        text = self.expect(0, "based_on: 1", "show", "--document")
        document = yaml.safe_load(text)
        runs: list[subprocess.CompletedProcess[str]] = []

        def operate(tokens: int) -> None:
            document["defaults"]["models"]["songs-8b"]["context_tokens"] = tokens
            own = self.write(document, f"{tokens}.yaml")
            runs.append(self.run_command(*self.apply(own, "bo", f"set {tokens}")))

        threads = [threading.Thread(target=operate, args=(n,)) for n in (512, 1024)]
        for each in threads:
            each.start()
        for each in threads:
            each.join(60)
        self.assertEqual(sorted(each.returncode for each in runs), [0, 3])
        loser = next(each for each in runs if each.returncode)
        self.assertIn("by bo: set ", loser.stderr)

    def write(self, document: object, name: str = "fleet.yaml") -> str:
        """Write a configuration file and return its path."""
        path = self.folder / name
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return str(path)

    def edit(self, values: dict[str, object]) -> str:
        """Write the document in force with some parts replaced."""
        shown = self.expect(0, "based_on", "show", "--document")
        return self.write({**yaml.safe_load(shown), **values})

    def apply(self, file: str, author: str, reason: str) -> tuple[str, ...]:
        """Return the arguments that apply a file."""
        return ("apply", file, "--author", author, "--reason", reason)

    def lose_an_answer(self) -> None:
        """Let the platform lose the answer to the next write that takes effect."""
        url = f"{self.fleet.url('platform')}/faults"
        httpx.post(url, json={"lost_answers": 1}).raise_for_status()

    def expect(self, status: int, text: str, *arguments: str) -> str:
        """Run a command, check status and text, and return its output."""
        run = self.run_command(*arguments)
        output = run.stdout + run.stderr
        self.assertEqual(run.returncode, status, output)
        self.assertIn(text, output)
        return output

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of agatehoist."""
        command = [sys.executable, "-m", "agatehoist", *arguments]
        if arguments[0] != "check":
            command += ["--platform", self.fleet.url("platform")]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)
