"""Texts for the reasons of refusals that concern an organisation; other reasons are their names."""

from __future__ import annotations

_TEXTS = {
    "over_quota": "over quota",
    "no_lease": "no lease while cut off",
    "key_unknown": "key unknown",
    "key_missing": "key missing",
    "key_repeated": "key repeated",
    "key_perhaps_new": "key unknown here, perhaps new",
}


def text(reason: str) -> str:
    """Return the text of a reason, followed by its details if it has any."""
    name, colon, details = reason.partition(":")
    return _TEXTS.get(name, name) + colon + details
