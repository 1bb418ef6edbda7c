"""What a VM does before it imports the rest of the program."""

import socket

from mulberryswitch._sockets import open_datagram_socket

__all__ = ["PACKET_FIELD", "SETTINGS_VARIABLE", "open_packet_socket"]

SETTINGS_VARIABLE = "MULBERRYSWITCH_CONFIG"
# Where this VM takes callers' packets.
PACKET_FIELD = "listen.datagramAddr"


def open_packet_socket(text: str) -> socket.socket | None:
    """Return a socket bound to the packet address of a settings file.

    Packets that arrive while the libraries load then wait in its buffer. None if the file or the
    address cannot be used; the full check of the settings tells why.
    """
    prefix = f"{PACKET_FIELD}="
    values = [line.removeprefix(prefix) for line in text.splitlines() if line.startswith(prefix)]
    host, _, port = values[-1].strip().rpartition(":") if values else ("", "", "")
    try:
        return open_datagram_socket(host, int(port)) if host else None
    except (OSError, ValueError, OverflowError):
        return None
