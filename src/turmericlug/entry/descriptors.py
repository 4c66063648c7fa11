"""
File descriptors that the process may open, which can be fewer than its settings state.

The number of callers' connections is limited so that descriptors are left for the connections to
replicas and the store. Counted with descriptors that the system then denies, callers that do
nothing but stay connected would take those, too.
"""

from __future__ import annotations

import resource

import attrs

from turmericlug.entry import settings as settings_module
from turmericlug.telemetry import decisions


def within_limit(settings: settings_module.Settings) -> settings_module.Settings:
    """Raise the process's own limit to the settings, or lower the settings to what it allows."""
    wanted = settings.limits.descriptors
    allowed = _raise_limit(wanted)
    if allowed >= wanted:
        return settings
    decisions.log("instance.few_descriptors", descriptors=allowed, in_settings=wanted)
    return attrs.evolve(settings, limits=attrs.evolve(settings.limits, descriptors=allowed))


def _raise_limit(wanted: int) -> int:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    raised = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (raised, hard))
    except (OSError, ValueError) as error:
        decisions.log("instance.limit_not_raised", limit=raised, error=str(error))
        return soft
    return raised
