"""A bounded set that evicts its oldest keys."""

from collections import OrderedDict
from collections.abc import Hashable, Iterable, Iterator

import attrs


def _ordered(keys: Iterable[Hashable]) -> OrderedDict[Hashable, None]:
    return OrderedDict.fromkeys(keys)


@attrs.define
class RecentKeys:
    """The last ``limit`` keys added, for deduplication.

    Bounded by count and not by age, so that two readers of the same stream
    evict the same keys at the same offset, independently of their clocks.
    """

    limit: int
    _keys: OrderedDict[Hashable, None] = attrs.field(factory=tuple, converter=_ordered)

    def add(self, key: Hashable) -> bool:
        """Add ``key``; ``False`` if it was present already."""
        if key in self._keys:
            return False
        self._keys[key] = None
        if len(self._keys) > self.limit:
            self._keys.popitem(last=False)
        return True

    def __contains__(self, key: object) -> bool:
        return key in self._keys

    def __iter__(self) -> Iterator[Hashable]:
        return iter(self._keys)

    def __len__(self) -> int:
        return len(self._keys)
