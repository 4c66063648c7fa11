"""Decides which organisation a request belongs to, by the API key that the caller sent."""

from __future__ import annotations

import dataclasses

from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import routes
from turmericlug.http1 import messages


@dataclasses.dataclass(frozen=True)
class Identified:
    """The request may be handled for an organisation, or for ``None`` if it needs none."""

    organisation: organisations_module.Organisation | None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request carries no API key of any organisation."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The API key is unknown here, but a configuration that is not known yet may contain it."""


Identity = Identified | Rejected | Undecided


def identify(
    request: messages.Request,
    route: routes.Route,
    organisations: organisations_module.Organisations | None,
    key_header: bytes,
    is_current: bool,
) -> Identity:
    """
    Identify a request's organisation.

    :param organisations: ``None`` if the deployment has none
    :param key_header: name of the header with the API key
    :param is_current: whether the configuration is recent enough to tell that a key is unknown
    """
    if organisations is None or route.is_public:
        return Identified(None)
    keys = [value for name, value in request.headers if name == key_header]
    if len(keys) != 1:
        return Rejected("key_missing" if not keys else "key_repeated")
    organisation = organisations.by_key.get(keys[0])
    if organisation is not None:
        return Identified(organisation)
    if not (is_current and organisations.is_complete):
        return Undecided()
    return Rejected("key_unknown")
