"""Queries to running VMs, and the options and exit codes that commands share."""

import json
import sys
import urllib.error
import urllib.request
from typing import Any

import click

__all__ = ["EXIT_REFUSED", "EXIT_UNREACHABLE", "exit_with_status", "output_option", "query_vms"]

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
QUERY_TIMEOUT_S = 3.0

output_option = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Output format.",
)


def _fetch_json(address: str, path: str) -> Any:
    with urllib.request.urlopen(f"http://{address}{path}", timeout=QUERY_TIMEOUT_S) as response:
        return json.load(response)


def query_vms(addresses: tuple[str, ...], path: str) -> tuple[dict[str, Any], bool]:
    """Return the answer or error of each address, and whether all VMs answered."""
    answers: dict[str, Any] = {}
    all_answered = True
    for address in addresses:
        try:
            answers[address] = _fetch_json(address, path)
        except (OSError, urllib.error.URLError, ValueError) as exc:
            answers[address] = {"error": str(exc)}
            all_answered = False
    return answers, all_answered


def exit_with_status(all_answered: bool) -> None:
    """Exit with 0, or with `EXIT_UNREACHABLE` if a VM did not answer."""
    sys.exit(0 if all_answered else EXIT_UNREACHABLE)
