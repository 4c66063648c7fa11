"""Client of the platform's instance list, over the health endpoint of the Consul HTTP API."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import attrs

from turmericlug.storage import reading

_REPLIES = reading.new_budget()

OWN_SERVICE = "turmericlug"
"""The service under which the platform lists this project's daemons."""


_MALFORMED = (ValueError, KeyError, TypeError, AttributeError, RecursionError)
"""Raised for a list whose fields are absent, of another type or too deeply nested."""


class InstancesError(Exception):
    """No usable response from the instance list."""


@attrs.frozen
class ListedInstance:
    """An entry of the platform's list, which lags behind and is therefore only a hint."""

    instance: str
    generation: int
    """Increases when the instance registers again, as after a restart."""
    host: str
    port: int
    data_centre: str
    leaving: bool


async def read(
    session: aiohttp.ClientSession, url: str, service: str, timeout_s: float
) -> list[ListedInstance]:
    """
    Read all instances of a service.

    :param service: a service of the catalogue, or ``OWN_SERVICE``
    :raises InstancesError: no response, or it is not a list of instances
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with session.get(f"{url}/v1/health/service/{service}") as response:
                if response.status != 200:
                    raise InstancesError(f"status {response.status}")
                if response.content_type != "application/json":
                    raise InstancesError(f"content type {response.content_type[:100]}")
                async with reading.read_json(response, _REPLIES) as items:
                    return [_decode_instance(item) for item in items]
    except (aiohttp.ClientError, OSError, TimeoutError, *_MALFORMED) as error:
        raise InstancesError(type(error).__name__) from error


def _decode_instance(item: dict[str, typing.Any]) -> ListedInstance:
    service = item["Service"]
    return ListedInstance(
        instance=service["ID"],
        generation=int(service.get("CreateIndex", 0)),
        host=service["Address"],
        port=int(service["Port"]),
        data_centre=item["Node"]["Datacenter"],
        leaving=any(check["Status"] == "critical" for check in item["Checks"]),
    )
