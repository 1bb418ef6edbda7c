"""Record files: one JSON object per line, written without delay."""

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["RecordFile", "read_records"]


class RecordFile:
    """Appends events to a file.

    Parameters
    ----------
    path : Path
        File to append to.
    common_fields : dict
        Fields added to every record.
    """

    def __init__(self, *, path: Path, common_fields: dict[str, Any]):
        self._file = path.open("a", buffering=1)
        self._common_fields = common_fields

    def append(self, event: str, **values: Any) -> None:
        """Write one event with the current wall-clock time."""
        record = {"event": event, "at_s": round(time.time(), 4), **self._common_fields, **values}
        self._file.write(json.dumps(record) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _parse_line(line: str) -> dict[str, Any] | None:
    try:
        return json.loads(line)
    except ValueError:
        return None


def read_records(paths: list[Path]) -> Iterator[dict[str, Any]]:
    """Yield the records of all `paths`.

    The last line of a killed process may be truncated and is skipped then; any other invalid line
    raises ``ValueError``.
    """
    for path in paths:
        lines = path.read_text().splitlines() if path.exists() else []
        parsed = [_parse_line(line) for line in lines]
        if parsed and parsed[-1] is None:
            parsed.pop()
        if None in parsed:
            raise ValueError(f"{path.name}: line {parsed.index(None) + 1} is not valid JSON")
        yield from parsed
