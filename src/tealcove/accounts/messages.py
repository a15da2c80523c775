"""Messages between instances about ordered weights."""

from __future__ import annotations

from tealcove.accounts import orders
from tealcove.peers import message


class WeightsChanged(message.Message):
    """Orders that the sender knows, sent on a change and to peers that differ."""

    records: tuple[orders.WeightOrder, ...]
