"""The stand-in of the platform's store, with pages of 500 objects or 1 MB at most."""

import json
from typing import Any

from soak.store import StandInStore

PAGE_BYTES = 1024 * 1024
PAGE_OBJECTS = 500


class PagedStore(StandInStore):
    """A store that ends a page of a list also for its size, as the platform's does."""

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = [name for name in self.names(kind) if name > after]
        page: list[dict[str, Any]] = []
        size = 0
        for name in names:
            value = self._objects[(kind, name)]
            size += len(json.dumps(value["specification"]))
            if page and (size > PAGE_BYTES or len(page) >= PAGE_OBJECTS):
                break
            page.append(value)
        return {"items": page, "more": len(page) < len(names), "as-of": self.revision}
