"""Which callers' requests a leaving instance still takes."""

from __future__ import annotations

import asyncio
import math

import attrs

from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sending
from turmericlug.policy import leaving


@attrs.define
class Leaving:
    """The limits of a leaving instance; without any until it leaves."""

    replicas: replicas_module.Replicas
    _idempotent: leaving.Limits = leaving.Limits()
    _unrepeatable: leaving.Limits = leaving.Limits()

    def start(
        self, refuse_unrepeatable_from_s: float, refuse_from_s: float, exits_at_s: float
    ) -> None:
        """
        Begin to refuse requests that may still be in flight when the process exits.

        A request that isn't idempotent is refused sooner, and at once if it usually takes longer
        than until the exit: its caller can't repeat it once it fails.

        :param refuse_unrepeatable_from_s: time until which requests that aren't idempotent are
            taken, and idempotent ones that usually take longer than until the exit
        :param refuse_from_s: time until which other idempotent requests are taken
        :param exits_at_s: time at which the process exits
        """
        self._idempotent = leaving.Limits(refuse_from_s, refuse_unrepeatable_from_s, exits_at_s)
        self._unrepeatable = leaving.Limits(refuse_unrepeatable_from_s, -math.inf, exits_at_s)

    def expected_interruption(self, call: sending.Call) -> dict[str, object] | None:
        """
        Decide whether the process may exit before a request is answered.

        :returns: fields for the log line of its refusal; ``None`` if it is taken
        """
        limits = self._idempotent if call.route.idempotent else self._unrepeatable
        if math.isinf(limits.exits_at_s):
            return None  # This instance stays.
        usual_ms = self.replicas.usual_ms(call.route.name)
        usual_s = None if usual_ms is None else usual_ms / 1000
        now_s = asyncio.get_running_loop().time()
        if leaving.takes(limits, call.deadline_s, usual_s, now_s):
            return None
        return {
            "route": call.route.name,
            "exits_in_ms": round((limits.exits_at_s - now_s) * 1000),
            "usual_ms": None if usual_ms is None else round(usual_ms),
        }
