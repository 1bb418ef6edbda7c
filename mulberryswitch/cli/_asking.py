"""Questions to running VMs, and what commands share."""

import json
import sys
import urllib.error
import urllib.request
from typing import Any

import click

__all__ = ["EXIT_REFUSED", "EXIT_UNREACHABLE", "ask_all", "finish", "output_option"]

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
ASK_TIMEOUT_S = 3.0

output_option = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Form of the answer.",
)


def _ask(address: str, path: str) -> Any:
    with urllib.request.urlopen(f"http://{address}{path}", timeout=ASK_TIMEOUT_S) as response:
        return json.load(response)


def ask_all(addresses: tuple[str, ...], path: str) -> tuple[dict[str, Any], bool]:
    """Return the answer of each address, and whether all answered."""
    answers: dict[str, Any] = {}
    reached = True
    for address in addresses:
        try:
            answers[address] = _ask(address, path)
        except (OSError, urllib.error.URLError, ValueError) as exc:
            answers[address] = {"error": str(exc)}
            reached = False
    return answers, reached


def finish(reached: bool) -> None:
    """End the command with the exit code for VMs that did not answer."""
    sys.exit(0 if reached else EXIT_UNREACHABLE)
