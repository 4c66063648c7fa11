"""The platform's names for headers, paths and keys, used only within this package."""

from __future__ import annotations

from turmericlug.decoding import fields
from turmericlug.direct import header_names
from turmericlug.direct import load
from turmericlug.platform import optional_fields

_PERCENT = 100


def read_load(header_value: bytes) -> load.Load | None:
    """Parse the load reported by a replica; return ``None`` if it is malformed."""
    try:
        running, waiting, slots, *slowdown_percent = optional_fields.read_load_values(header_value)
    except fields.FieldError:
        return None
    slowdown = slowdown_percent[0] / _PERCENT if slowdown_percent else 1.0
    return load.Load(running, waiting, slots, slowdown)


HEADERS = header_names.HeaderNames(
    request_id=b"x-request-id",
    time_left=b"x-deadline-ms",
    expected_instance=b"x-expect-instance",
    not_run=b"x-not-executed",
    signature=b"x-server-stamp",
    part_signatures=b"x-part-stamps",
    missing_parts=b"x-missing-parts",
    retry_after=b"retry-after",
    api_key=b"x-key",
    organisation=b"x-tenant-name",
    load=b"x-server-load",
    read_load=read_load,
)

RESOLVE_PATH = b"/turmericlug/resolve"
READY_PATH = b"/turmericlug/ready"

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
REPLICAS_PREFIX = "servers/"
INSTANCES_PREFIX = "turmericlug/instances/"
