"""Reads tables of the documentation, to compare them with the code."""

from tests import collection


def rows(heading: str, page: str = "docs/OPERATIONS.md") -> set[tuple[str, ...]]:
    """Return the first three columns of a table.

    Args:
        heading: heading of the section that contains the table.
        page: path of the page relative to the workspace root.

    Returns:
        For each row, the name without back quotes and the next two cells.
    """
    text = (collection.ROOT / page).read_text()
    body = text.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    found: set[tuple[str, ...]] = set()
    for line in body.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("| `") and len(cells) >= 3:
            found.add((cells[0].strip("`"), cells[1], cells[2]))
    return found
