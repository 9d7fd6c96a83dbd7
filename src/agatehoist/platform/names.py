"""Names of the platform's headers, object kinds and paths."""

from __future__ import annotations

SETTINGS_VARIABLE = "AGATEHOIST_CONFIG"

READY_PATH = "/agatehoist/ready"
OBJECTS_PATH = "/agatehoist/objects"
REPORT_TARGET = b"/agatehoist/report"
ORDER_TARGET = b"/agatehoist/order"
MOVE_TARGET = b"/agatehoist/kv-move"
COPY_TARGET = b"/agatehoist/kv-handle/"

# The store counts its eras, each of which begins when it comes back from an older copy.
STORE_ERA = b"store-era"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"
WEIGHTS_KIND = "versions"

REQUEST_ID = b"x-agatehoist-request-id"
MODEL = b"x-agatehoist-model-name"
TOKEN_COUNT = b"x-agatehoist-token-count"
PROMPT_PARTS = b"x-agatehoist-prompt-prefix"
TIME_LEFT_MS = b"x-agatehoist-deadline-ms"
API_KEY = b"api-key"
LAST_EVENT_ID = b"last-event-id"
# Of the request that brought the first event of a stream that the caller resumes.
RESUMED_REQUEST_ID = b"resumes"
ORGANISATION = b"x-agatehoist-tenant-id"
EXPECTED_ENDPOINT = b"x-agatehoist-expect-instance"
EXPECTED_WEIGHTS = b"x-agatehoist-expect-version"
PRIORITY = b"x-agatehoist-request-priority"
CACHE_SALT = b"x-agatehoist-cache-salt"
FETCH_CACHE_FROM = b"x-agatehoist-kv-fetch"
SAVE_CACHE_TO = b"x-agatehoist-kv-save"
CONTINUED_RUN = b"kv-from"

# Proves that the endpoint wrote the reply; it is returned to the caller unchanged.
ENDPOINT_STAMP = b"x-agatehoist-server-stamp"
NOT_EXECUTED = b"x-agatehoist-not-executed"
WEIGHTS_VERSION = b"x-agatehoist-weight-versions"
# What an endpoint says of itself, in answers of all statuses.
REQUEST_LIMIT_PER_S = b"server-limit"
LEAVING = b"server-leaving"

# Callers may not set these headers, so their values are not forwarded.
SYSTEM_HEADERS = frozenset(
    {
        ORGANISATION,
        EXPECTED_ENDPOINT,
        EXPECTED_WEIGHTS,
        PRIORITY,
        CACHE_SALT,
        FETCH_CACHE_FROM,
        SAVE_CACHE_TO,
        # The gateway doesn't set the next three either.
        b"x-agatehoist-hold",
        b"x-agatehoist-pin-ms",
        b"x-agatehoist-kv-backup",
        CONTINUED_RUN,
        b"x-agatehoist-not-executed",
        b"x-agatehoist-server-stamp",
    }
)
# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
