"""The platform's names on the wire: headers, paths, keys. Nothing outside this package has them."""

from __future__ import annotations

from turmericlug.direct import dialect

HEADERS = dialect.Dialect(
    request_id=b"x-request-id",
    time_left=b"x-deadline-ms",
    expected_instance=b"x-expect-instance",
    not_run=b"x-not-executed",
    signature=b"x-server-stamp",
    part_signatures=b"x-part-stamps",
    missing_parts=b"x-missing-parts",
    retry_after=b"retry-after",
    organisation=b"x-key",
)

RESOLVE_PATH = b"/turmericlug/resolve"
READY_PATH = b"/turmericlug/ready"

CONFIGURATION_KEY = "op/config"
REPLICAS_PREFIX = "servers/"
INSTANCES_PREFIX = "turmericlug/instances/"
