"""Cuts of the links between VMs, in a file that the VM processes read."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

__all__ = ["CutList", "Link", "list_cut_links"]

Link = tuple[str, str]
"""Host addresses of a sender and a receiver."""


def list_cut_links(inside: Iterable[str], outside: Iterable[str], *, one_way: bool) -> list[Link]:
    """Return the links between two groups of hosts; with `one_way` only those that lead out."""
    leaving = [(a, b) for a in inside for b in outside]
    return leaving if one_way else leaving + [(b, a) for a, b in leaving]


class CutList:
    """The cut links of a run; `standins.cut_vm` drops what is sent on them.

    Parameters
    ----------
    path : Path
        The file, with a sender and a receiver in each line.
    """

    def __init__(self, *, path: Path):
        self.path = path
        # Cuts may overlap; a link works again when the last one ends.
        self._counts: Counter[Link] = Counter()

    def start(self, links: Iterable[Link]) -> None:
        """Cut links."""
        self._counts.update(links)
        self._write()

    def end(self, links: Iterable[Link]) -> None:
        """End one cut of each link."""
        self._counts.subtract(links)
        self._write()

    def _write(self) -> None:
        lines = [f"{a} {b}\n" for (a, b), count in self._counts.items() if count > 0]
        # The rename is atomic: a reader never sees a partially written file.
        part = self.path.with_suffix(".part")
        part.write_text("".join(lines))
        part.rename(self.path)
