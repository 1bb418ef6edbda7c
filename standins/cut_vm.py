"""Process of one VM whose links to other VMs can be cut: ``python -m standins.cut_vm HOST CUTS``.

CUTS is a file with the cut links, a sender and a receiver in each line; it may change at any time.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path

from mulberryswitch.platform.__main__ import main
from mulberryswitch.transport import DatagramSocket

__all__ = ["install_cuts"]

# Limits the file accesses of a VM that sends many datagrams.
REFRESH_INTERVAL_S = 0.02


def _read_links(path: Path) -> frozenset[tuple[str, ...]]:
    try:
        return frozenset(tuple(line.split()) for line in path.read_text().splitlines())
    except FileNotFoundError:
        return frozenset()


def _build_reader(path: Path) -> Callable[[], frozenset[tuple[str, ...]]]:
    """Return a function that returns the links in the file, at most ``REFRESH_INTERVAL_S`` old."""
    read_s, links = float("-inf"), frozenset()

    def get_links() -> frozenset[tuple[str, ...]]:
        nonlocal read_s, links
        if time.monotonic() - read_s >= REFRESH_INTERVAL_S:
            read_s, links = time.monotonic(), _read_links(path)
        return links

    return get_links


def install_cuts(*, host: str, path: Path) -> None:
    """Drop this process's datagrams, and hold its new connections, on cut links.

    Parameters
    ----------
    host : str
        Address of this VM.
    path : Path
        The file with the cut links.
    """
    get_links = _build_reader(path)
    send, open_connection = DatagramSocket.send, asyncio.open_connection

    def send_unless_cut(sock: DatagramSocket, data: bytes, address: tuple[str, int]) -> None:
        if (host, address[0]) not in get_links():
            send(sock, data, address)

    async def open_unless_cut(peer: str, *args, **options):
        # A connection needs both directions.
        needed = {(host, peer), (peer, host)}
        while needed & get_links():  # noqa: ASYNC110 - the file has no event
            await asyncio.sleep(REFRESH_INTERVAL_S)
        return await open_connection(peer, *args, **options)

    DatagramSocket.send = send_unless_cut
    asyncio.open_connection = open_unless_cut


if __name__ == "__main__":
    install_cuts(host=sys.argv[1], path=Path(sys.argv[2]))
    sys.exit(main())
