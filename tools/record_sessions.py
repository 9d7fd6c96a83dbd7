"""Regenerate the golden files of the recorded sessions, for review before a commit."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import httpx

from standins.fleet import run_fleet
from tests.test_whole.sessions import golden_file, read_session, replay_session

SESSIONS = ("archive", "cooperative")


def main() -> None:
    """Replay each session on a new fleet and write the responses to its golden file."""
    for name in SESSIONS:
        session = read_session(name)
        with tempfile.TemporaryDirectory() as folder, run_fleet(Path(folder)) as fleet:
            headers = {"Authorization": f"Bearer {session['organisation_key']}"}
            url = fleet.url("router-0")
            with httpx.Client(base_url=url, headers=headers, timeout=20) as client:
                outcomes = replay_session(client, session)
        text = json.dumps(outcomes, indent=1, ensure_ascii=False) + "\n"
        golden_file(name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
