"""Serialisation of share records as stored objects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.core.document_reader import Finding, MappingReader, raise_findings
from agatehoist.software.types import (
    MAX_PERIODS,
    MAX_SOFTWARE_CHARACTERS,
    MAX_VERSIONS,
    SharePeriod,
    ShareRecord,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

SHARES_KIND = "agatehoist-software"
MAX_SERVICE_CHARACTERS = 256
# Leaves room for the numbers of later records.
MAX_NUMBER = 2**53


def read_record(spec: Any) -> ShareRecord:
    """Parse a stored record; fields of newer releases are ignored.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    service = reader.text("service")
    if len(service) > MAX_SERVICE_CHARACTERS:
        reader.add_finding("service", "too long")
    number = reader.integer("number")
    if not 1 <= number <= MAX_NUMBER:
        reader.add_finding("number", f"not between 1 and {MAX_NUMBER}")
    periods: tuple[SharePeriod, ...] = ()
    if 1 <= len(reader.items("periods")) <= MAX_PERIODS:
        periods = tuple(_read_period(each) for each in reader.mappings("periods"))
    else:
        reader.add_finding("periods", f"not between 1 and {MAX_PERIODS} of them")
    times = [each.began_at for each in periods]
    if times != sorted(times):
        reader.add_finding("periods", "not in the order of time")
    raise_findings("shares", findings)
    return ShareRecord(service, number, periods)


def write_record(record: ShareRecord) -> dict[str, Any]:
    """Return the stored form of a record."""
    return {
        "service": record.service,
        "number": record.number,
        "periods": [
            {
                "began_at": period.began_at,
                "shares": [
                    {"software": software, "share": share}
                    for software, share in period.shares_by_software.items()
                ],
            }
            for period in record.periods
        ],
    }


def _read_period(reader: MappingReader) -> SharePeriod:
    shares: dict[str, float] = {}
    if _has_valid_count(reader, reader.items("shares")):
        for each in reader.mappings("shares"):
            software = each.text("software")
            if len(software) > MAX_SOFTWARE_CHARACTERS or software in shares:
                each.add_finding("software", "too long or repeated")
            shares[software] = each.number("share")
            if shares[software] > 1:
                each.add_finding("share", "above 1")
        if not any(shares.values()):
            reader.add_finding("shares", "no version has a share")
    return SharePeriod(reader.number("began_at"), shares)


def _has_valid_count(reader: MappingReader, shares: Sequence[Any]) -> bool:
    if len(shares) <= MAX_VERSIONS:
        return True
    reader.add_finding("shares", f"more than {MAX_VERSIONS} of them")
    return False
