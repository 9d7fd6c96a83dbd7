"""Slopes of the configuration in force."""

from __future__ import annotations

from agatehoist.configuration.keys import KeyIndex, digest_key
from agatehoist.configuration.types import FleetConfiguration, Organisation
from bench.capacity.slopes import allocated_bytes, slope

ORGANISATION_COUNTS = (1_000, 2_000, 4_000, 8_000)
TARGET_ORGANISATIONS = 49_000


@slope(
    "router: organisations with one key each",
    "organisation",
    "bytes",
    ORGANISATION_COUNTS,
    TARGET_ORGANISATIONS,
)
def organisation_bytes(count: int) -> float:
    """Return the memory of the organisations and the index of their keys."""
    return allocated_bytes(lambda: _make_configuration(count))


def _make_configuration(count: int) -> object:
    organisations_by_name = {
        f"organisation-{index}": Organisation((digest_key(str(index)),))
        for index in range(count)
    }
    configuration = FleetConfiguration(1, organisations_by_name)
    return configuration, KeyIndex(configuration)
