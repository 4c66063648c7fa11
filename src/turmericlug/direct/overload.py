"""Points at which the code that sends parts informs the overload control, which may be absent."""

from __future__ import annotations

from collections import abc

import attrs

from turmericlug.direct import handover_codec
from turmericlug.direct import replica as replica_module
from turmericlug.direct import sending

OnPartEnded = abc.Callable[[sending.Outcome], None]


def _ignore_part(call: sending.Call, replica: replica_module.Replica) -> OnPartEnded:
    return lambda outcome: None


@attrs.define
class Hooks:
    """Functions that the overload control replaces; by default they do nothing."""

    observe_part: abc.Callable[[sending.Call, replica_module.Replica], OnPartEnded] = _ignore_part
    """Called when an attempt begins; returns the function to call with its outcome."""
    on_batch: abc.Callable[[sending.Call], None] = lambda call: None
    """Called with each batch of another instance."""
    on_peer_load: abc.Callable[[str, handover_codec.Load], None] = lambda peer, load: None
    """Called with the load in each answer of another instance."""
    own_load: abc.Callable[[], handover_codec.Load] = handover_codec.Load
    """Returns the load to send with an answer to another instance."""
