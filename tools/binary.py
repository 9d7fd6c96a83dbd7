"""Build the program as one file: a zip archive that Python can execute."""

from __future__ import annotations

import compileall
import shutil
import subprocess
import sys
import zipapp
from pathlib import Path

BUILD_FOLDER = Path("build/binary")
TARGET = Path("dist/agatehoist")
INTERPRETER = "/usr/bin/env python3.11"
ENTRY_POINT = "agatehoist.__main__:run"

# Python can't import compiled modules from an archive; each has a pure Python fallback,
# which for orjson is packaging/orjson.py. Commands and cached byte code aren't needed.
_EXCLUDED_PATTERNS = ("*.so", "bin", "orjson", "__pycache__")


def main() -> None:
    """Build the archive and print its size."""
    shutil.rmtree(BUILD_FOLDER, ignore_errors=True)
    _install_libraries()
    shutil.copytree("src", BUILD_FOLDER, dirs_exist_ok=True)
    _remove_excluded()
    shutil.copy("packaging/orjson.py", BUILD_FOLDER)
    compileall.compile_dir(BUILD_FOLDER, quiet=2, legacy=True)
    TARGET.parent.mkdir(exist_ok=True)
    zipapp.create_archive(
        BUILD_FOLDER, TARGET, INTERPRETER, ENTRY_POINT, compressed=True
    )
    print(f"{TARGET}: {TARGET.stat().st_size / 1e6:.1f} MB")


def _install_libraries() -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    command += ["--disable-pip-version-check", "--target", str(BUILD_FOLDER)]
    command += ["-r", "requirements/run.txt"]
    subprocess.run(command, check=True)


def _remove_excluded() -> None:
    for pattern in _EXCLUDED_PATTERNS:
        for path in list(BUILD_FOLDER.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


if __name__ == "__main__":
    main()
