"""Replace the marked tables of a Markdown page."""

import re
from collections.abc import Callable, Iterable, Sequence

_MARKED_TABLE = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)


def fill_tables(page: str, table: Callable[[str], str]) -> str:
    """Return a page with the text between `<!-- table NAME -->` and `<!-- end -->` replaced."""
    return _MARKED_TABLE.sub(lambda match: match[1] + table(match[2]) + match[3], page)


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table with a head and rows."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)
