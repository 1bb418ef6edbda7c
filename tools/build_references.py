"""Write docs/settings.md from the settings models; ``--check`` compares instead."""

import sys
from pathlib import Path

from pydantic_core import PydanticUndefined

from mulberryswitch.contracts import Settings

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_PAGE = ROOT / "docs" / "settings.md"
HEADER = """# Settings

Settings of `mulberryswitch node` in an INI file. This page is made from the models by
`python tools/build_references.py`; a test compares the two. Unknown keys, wrong units and values
out of range are errors that name section, key, value and what is expected (codes 500 to 502).
`examples/node.ini` is a commented example.
"""


def _describe_default(field) -> str:
    if field.default is PydanticUndefined:
        return "required"
    return f"`{field.default}`" if field.default != "" else "empty"


def _describe_range(field) -> str:
    limits = {}
    for item in field.metadata:
        for name, sign in (("ge", ">="), ("le", "<=")):
            if getattr(item, name, None) is not None:
                limits[name] = f"{sign} {getattr(item, name):g}"
    return ", ".join(limits.values())


def build_settings_page() -> str:
    """Return the text of docs/settings.md."""
    parts = [HEADER]
    for section, outer in Settings.model_fields.items():
        model = outer.annotation
        parts.append(f"## [{section}]\n\n{model.__doc__.splitlines()[0]}\n")
        rows = ["| key | meaning | default | range |", "|---|---|---|---|"]
        rows += [
            f"| `{name}` | {field.description} | {_describe_default(field)} "
            f"| {_describe_range(field)} |"
            for name, field in model.model_fields.items()
        ]
        parts.append("\n".join(rows) + "\n")
    return "\n".join(parts)


def main() -> int:
    """Write or check the page and return the exit code."""
    text = build_settings_page()
    if "--check" in sys.argv[1:]:
        return 0 if SETTINGS_PAGE.read_text() == text else 1
    SETTINGS_PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
