"""Writes settings files for the daemons of a deployment."""

import json
from collections.abc import Mapping


def toml_text(sections: Mapping[str, Mapping[str, str | int]]) -> str:
    """Write sections of plain values as TOML.

    Args:
        sections: values by section and key.

    Returns:
        The file's text.
    """
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        # JSON's strings and whole numbers are TOML's as well.
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
