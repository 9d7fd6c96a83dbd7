"""Tests of parsing configurations, endpoint entries and target weights."""

from __future__ import annotations

import copy
import unittest
from typing import Any

from parameterized import parameterized

from agatehoist.core.document_reader import InvalidDocumentError
from agatehoist.platform.documents import (
    read_configuration,
    read_endpoint,
    read_weights,
)


def nested(levels: int) -> Any:
    """Return lists nested so many levels deep."""
    value: list[Any] = []
    for _ in range(levels):
        value = [value]
    return value


HUGE = 10**5000
ODD_VALUES = [
    ("huge", HUGE),
    ("beyond_63_bits", 2**63),
    ("nan", float("nan")),
    ("infinite", float("inf")),
    ("negative", -1),
    ("deep", nested(5000)),
    ("surrogate", "\ud800"),
    ("control_character", "a\0"),
    ("long", "a" * 10**6),
]
ENTRY: dict[str, Any] = {
    "Service": "engines",
    "Address": "10.128.0.9:8080",
    "Zone": "fraser",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdLeftMs": 0,
    "Models": [{"Name": "songs", "Version": 3, "Adapters": []}],
    "SeqNo": 4,
    "born": 1784186469033,
}
ROUTE: dict[str, Any] = {
    "Name": "r1",
    "Host": "Jepu9.example",
    "PathPrefix": "/lepu/",
    "Kind": "stream",
    "TimeoutMs": 6000,
    "TargetLatencyMs": 600,
    "Priority": 1,
    "TrafficSplit": [
        {"Service": "a", "Weight": 90},
        {"Service": "b", "Weight": 10},
    ],
    "MaxAttempts": 2,
    "Public": False,
    "Sticky": True,
    "Resumable": True,
    "TargetGapMs": 300,
}
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {"Name": "a", "Engine": {"Slots": 64, "KvCapacity": 9, "Models": []}},
        {"Name": "kept", "KvStoreAddr": "172.20.0.2:8781", "Zone": "skeena"},
    ],
    "Tenants": [{"Name": "crew", "ApiKeys": ["k1", "k2"], "Isolated": True}],
}


class EndpointTests(unittest.TestCase):
    def test_entry(self) -> None:
        endpoint = read_endpoint("i-1", ENTRY)
        self.assertEqual((endpoint.host, endpoint.port), ("10.128.0.9", 8080))
        self.assertEqual(endpoint.versions_by_model, {"songs": 3})
        self.assertEqual(endpoint.software, "v1")
        self.assertEqual(endpoint.lifetime, "i-1@1784186469033")
        self.assertFalse(endpoint.leaving)

    @parameterized.expand(
        [
            ("no_table", None, None),
            ("text", "State", "READY"),
            ("unknown_state", "State", "paused"),
            ("no_service", "Service", None),
            ("number_for_service", "Service", 7),
            ("no_software_version", "Version", None),
            ("number_for_software_version", "Version", 1),
            ("no_port", "Address", "10.0.0.1"),
            ("port_too_high", "Address", "10.0.0.1:99999"),
            ("text_for_slots", "Slots", "many"),
            ("negative_slots", "Slots", -1),
            ("text_for_models", "Models", "songs"),
            ("models_of_texts", "Models", ["songs"]),
        ]
    )
    def test_invalid_entries_are_rejected(
        self, _name: str, field: str | None, value: object
    ) -> None:
        entry: Any = None if field is None else {**ENTRY, field: value}
        with self.assertRaises(InvalidDocumentError):
            read_endpoint("i-1", entry)

    @parameterized.expand(
        [
            ("empty", ""),
            ("space", "a b"),
            ("line_break", "a\r\nb: c"),
            ("not_ascii", "é"),
            ("surrogate", "\ud800"),
            ("long", "a" * 10**6),
        ]
    )
    def test_names_that_no_header_can_carry_are_rejected(
        self, _name: str, name: str
    ) -> None:
        with self.assertRaises(InvalidDocumentError) as caught:
            read_endpoint(name, ENTRY)
        self.assertLess(len(str(caught.exception)), 500)

    def test_unknown_fields_are_ignored(self) -> None:
        read_endpoint("i-1", {**ENTRY, "New": [1]})


class ConfigurationTests(unittest.TestCase):
    def test_configuration(self) -> None:
        table = read_configuration(CONFIGURATION)
        (route,) = table.routes_by_host["jepu9.example"]
        self.assertEqual(route.timeout_s, 6.0)
        self.assertTrue(route.repeatable)
        self.assertEqual([each.service for each in route.services], ["a", "b"])
        self.assertEqual(
            [each.address for each in table.kv_stores], ["172.20.0.2:8781"]
        )
        self.assertEqual(set(table.organisations_by_key), {b"k1", b"k2"})
        self.assertTrue(table.keys_required)

    def test_keys_are_not_required_without_organisations(self) -> None:
        value = {**CONFIGURATION, "Tenants": None}
        self.assertFalse(read_configuration(value).keys_required)

    def test_all_findings_are_reported_with_their_place(self) -> None:
        value = copy.deepcopy(CONFIGURATION)
        value["Routes"][0]["TimeoutMs"] = "long"
        value["Services"][0]["Name"] = None
        with self.assertRaises(InvalidDocumentError) as caught:
            read_configuration(value)
        places = [each.place for each in caught.exception.findings]
        self.assertEqual(places, ["Routes[0].TimeoutMs", "Services[0].Name"])

    @parameterized.expand(
        [
            (f"{'_'.join(map(str, path))}_{name}", path, value)
            for path in (
                ("Version",),
                ("Routes",),
                ("Routes", 0, "Name"),
                ("Routes", 0, "Host"),
                ("Routes", 0, "PathPrefix"),
                ("Routes", 0, "Kind"),
                ("Routes", 0, "TimeoutMs"),
                ("Routes", 0, "Priority"),
                ("Routes", 0, "MaxAttempts"),
                ("Routes", 0, "TrafficSplit"),
                ("Routes", 0, "TrafficSplit", 0, "Weight"),
                ("Services", 0, "Engine"),
                ("Services", 0, "Engine", "KvCapacity"),
                ("Services", 1, "KvStoreAddr"),
                ("Tenants", 0, "Name"),
                ("Tenants", 0, "Priority"),
                ("Tenants", 0, "ApiKeys", 0),
                ("Limits", "MaxBodyBytes"),
                ("Limits", "IdleTimeoutMs"),
            )
            for name, value in ODD_VALUES
        ]
    )
    def test_odd_values_are_rejected(
        self, _name: str, path: tuple[Any, ...], value: object
    ) -> None:
        document = copy.deepcopy(CONFIGURATION)
        document["Limits"] = {"MaxHeaderBytes": 4096, "MaxBodyBytes": 4096}
        inner: Any = document
        for each in path[:-1]:
            inner = inner[each]
        inner[path[-1]] = value
        with self.assertRaises(InvalidDocumentError) as caught:
            read_configuration(document)
        self.assertLess(len(str(caught.exception)), 500)


class WeightsTests(unittest.TestCase):
    @parameterized.expand(
        [
            (None,),
            ({"Model": "m"},),
            ({"Model": 1, "Version": 2},),
            *(({"Model": "m", "Version": value},) for _, value in ODD_VALUES),
            *(({"Model": value, "Version": 2},) for _, value in ODD_VALUES),
        ]
    )
    def test_invalid_weights_are_rejected(self, value: object) -> None:
        with self.assertRaises(InvalidDocumentError):
            read_weights(value)
