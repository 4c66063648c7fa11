"""The last load that each instance has reported, with its age."""

from __future__ import annotations

from collections import abc

from turmericlug.direct import handover_codec
from turmericlug.policy import peer_load
from turmericlug.telemetry import decisions


class PeerLoads:
    """The signals of the instances that have answered this one lately."""

    def __init__(self, capacity_of: abc.Callable[[str], float]) -> None:
        self._capacity_of = capacity_of
        self._signals: dict[str, peer_load.Signal] = {}

    def __len__(self) -> int:
        return len(self._signals)

    def record(self, name: str, load: handover_codec.Load, now_s: float) -> None:
        """Record a report of an instance."""
        capacity = self._capacity_of(name)
        delay_ms = peer_load.delay_ms(load.lag_ms, load.active, load.queued, capacity)
        known = self._signals.get(name)
        signal = (
            known.updated(delay_ms, now_s) if known else peer_load.first_signal(delay_ms, now_s)
        )
        if signal.is_hot != (known is not None and known.is_hot):
            decisions.log(
                "peer.hot" if signal.is_hot else "peer.cool",
                peer=name,
                delay_ms=round(signal.delay_ms, 1),
                lag_ms=load.lag_ms,
                active=load.active,
                queued=load.queued,
            )
        self._signals[name] = signal

    def was_hot(self, name: str, now_s: float) -> bool:
        """Whether the last signal of an instance was hot and is no longer fresh."""
        signal = self._signals.get(name)
        return signal is not None and signal.is_hot and not signal.is_fresh(now_s)

    def get(self, name: str, now_s: float) -> peer_load.Signal | None:
        """Return the signal of an instance if it is fresh."""
        signal = self._signals.get(name)
        return signal if signal is not None and signal.is_fresh(now_s) else None

    def retain(self, names: abc.Container[str]) -> None:
        """Discard the signals of all other instances."""
        self._signals = {name: signal for name, signal in self._signals.items() if name in names}
