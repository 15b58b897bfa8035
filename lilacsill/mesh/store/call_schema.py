"""The cerberus schema of an operator's call; `docs/api/openapi.yaml` is authoritative, and both must agree."""

from __future__ import annotations

ROUTE_KINDS = ["read_only", "writes", "keyed_write"]
MAX_KEY_CHARACTERS = 1024  # of a tenant's key, which is sent in a request header field
MAX_NUMBER = 2**53  # larger JSON numbers are no longer exact when decoded as floats

_VERSION = {"type": "string", "required": True, "regex": r"r[0-9]{1,15}"}
_TEXT = {"type": "string", "required": True, "minlength": 1, "maxlength": 256}
_COUNT = {"type": "integer", "min": 0, "max": MAX_NUMBER}
_NUMBER = {"type": "number", "min": 0, "max": MAX_NUMBER}
_FLAG = {"type": "boolean"}
_TRAFFIC_SPLIT = {
    "type": "list",
    "minlength": 1,
    "schema": {
        "type": "dict",
        "allow_unknown": True,
        "schema": {"TargetService": _TEXT, "Share": {**_NUMBER, "required": True}},
    },
}
ROUTE_SCHEMA = {
    "Name": _TEXT,
    "ConfigVersion": _VERSION,
    "RouteKind": {"type": "string", "required": True, "allowed": ROUTE_KINDS},
    "TargetMs": _NUMBER,
    "Rank": _COUNT,
    "Public": _FLAG,
    "When": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {"PathPrefix": {"type": "string", "required": True, "regex": r"/(.*/)?"}},
    },
    "Then": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {
            "TargetService": {**_TEXT, "required": False},
            "TrafficSplit": _TRAFFIC_SPLIT,
            "TimeoutMs": {**_NUMBER, "required": True, "min": 1},
            "MaxTries": {**_COUNT, "min": 1},
        },
    },
}
TENANT_SCHEMA = {
    "Name": _TEXT,
    "ConfigVersion": _VERSION,
    "ApiKeys": {
        "type": "list",
        "required": True,
        "schema": {"type": "string", "minlength": 1, "maxlength": MAX_KEY_CHARACTERS},
    },
    "Rank": _COUNT,
    "RatePerS": _NUMBER,
    "BurstSize": _NUMBER,
}
_NAMED_VERSIONS = {
    "type": "list",
    "schema": {"type": "dict", "allow_unknown": True, "schema": {"Name": _TEXT, "ConfigVersion": _VERSION}},
}
CALL_SCHEMA = {
    "ReplaceItems": {
        "type": "dict",
        "schema": {
            "Customers": {
                "type": "list",
                "schema": {"type": "dict", "allow_unknown": True, "schema": TENANT_SCHEMA},
            },
            "Limits": {
                "type": "dict",
                "allow_unknown": True,
                "schema": {
                    "ConfigVersion": _VERSION,
                    "MaxHeaderBytes": _COUNT,
                    "MaxBodyBytes": _COUNT,
                    "HeaderWaitMs": _COUNT,
                    "IdleTimeoutMs": _COUNT,
                },
            },
            "Listeners": {
                "type": "list",
                "schema": {
                    "type": "dict",
                    "schema": {
                        "Host": _TEXT,
                        "Policy": {
                            "type": "list",
                            "required": True,
                            "schema": {"type": "dict", "allow_unknown": True, "schema": ROUTE_SCHEMA},
                        },
                    },
                },
            },
            "Groups": {
                "type": "list",
                "schema": {
                    "type": "dict",
                    "allow_unknown": True,
                    "schema": {
                        "Name": _TEXT,
                        "ConfigVersion": _VERSION,
                        "HealthPath": {"type": "string", "regex": "/.*"},
                        "MaxConnections": {**_COUNT, "min": 1},
                        "DedupesItself": _FLAG,
                    },
                },
            },
        },
    },
    "RemoveItems": {
        "type": "dict",
        "schema": {
            "Customers": _NAMED_VERSIONS,
            "Routing": _NAMED_VERSIONS,
            "Listeners": _NAMED_VERSIONS,
            "ServiceList": _NAMED_VERSIONS,
            "Groups": _NAMED_VERSIONS,
        },
    },
}
