"""Generate docs/settings.md from the settings models, or check it with ``--check``."""

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
    bounds = {}
    for item in field.metadata:
        for name, operator in (("ge", ">="), ("le", "<=")):
            if getattr(item, name, None) is not None:
                bounds[name] = f"{operator} {getattr(item, name):g}"
    return ", ".join(bounds.values())


def build_settings_page() -> str:
    """Return the contents of docs/settings.md."""
    parts = [HEADER]
    for section, section_field in Settings.model_fields.items():
        model = section_field.annotation
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
    """Write the page, or check it if asked to; return the exit code."""
    page = build_settings_page()
    if "--check" in sys.argv[1:]:
        return 0 if SETTINGS_PAGE.read_text() == page else 1
    SETTINGS_PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
