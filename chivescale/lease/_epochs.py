"""Epochs of all services up to a log index."""

import collections.abc

from chivescale.lease._messages import NO_EPOCH, Epoch


class EpochTable:
    """Latest committed epoch of each service.

    The table is complete up to `index`: it contains the latest epoch of each
    service among those with an index up to that one.

    Attributes
    ----------
    epochs : dict of str to Epoch
        Epochs by service.
    index : int
        Highest index of an epoch.
    """

    __slots__ = ("epochs", "index")

    def __init__(self):
        self.epochs: dict[str, Epoch] = {}
        self.index = 0

    def get(self, service: str) -> Epoch:
        """Return the epoch of a service."""
        return self.epochs.get(service, NO_EPOCH)

    def learn(self, epochs: collections.abc.Mapping[str, Epoch]) -> None:
        """Merge epochs; older ones are ignored."""
        for service, epoch in epochs.items():
            if epoch.index > self.get(service).index:
                self.epochs[service] = epoch
                self.index = max(self.index, epoch.index)

    def since(self, index: int) -> dict[str, Epoch]:
        """Return the epochs above `index`."""
        if index >= self.index:
            return {}
        return {
            service: epoch
            for service, epoch in self.epochs.items()
            if epoch.index > index
        }
