"""Formats settings files for the daemons of a deployment."""

import json
from collections.abc import Mapping


def toml_text(sections: Mapping[str, Mapping[str, str | int]]) -> str:
    """Format sections of strings and integers as TOML.

    Args:
        sections: values by section and key.

    Returns:
        The text of the file.
    """
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        # JSON strings and integers are valid TOML values.
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
