"""Commands for VMs of the direct path."""

import json
import sys
import urllib.parse
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click

from ._query import EXIT_REFUSED, exit_with_status, output_option, query_vms

__all__ = ["front"]


@click.group()
def front() -> None:
    """Commands for VMs of the direct path (python -m mulberryswitch.platform)."""


@front.command()
@click.argument("path", type=click.Path(path_type=Path))
@output_option
def check(path: Path, output: str) -> None:
    """Check the settings file of a VM of the direct path.

    \b
    Example: mulberryswitch front check /etc/mulberryswitch/node.conf
    """
    from mulberryswitch.platform import parse_settings

    try:
        settings = parse_settings(path.read_text())
    except (OSError, ValueError) as exc:
        problem = {"ok": False, "problem": str(exc)}
        click.echo(json.dumps(problem) if output == "json" else f"{path}: {exc}")
        sys.exit(EXIT_REFUSED)
    summary = {"ok": True, "vm": settings.vm, "zone": settings.zone}
    text = f"{path}: settings of VM {settings.vm} are valid"
    click.echo(json.dumps(summary) if output == "json" else text)


@front.command(name="check-config")
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="The configuration in force, to show what would change.",
)
@output_option
def check_config(path: Path, against: Path | None, output: str) -> None:
    """Check a configuration of the users' platform before it is sent.

    Exits with 0 if it may be sent, also with warnings, and with 1 if it has errors.

    \b
    Example: mulberryswitch front check-config new.json --against current.json
    """
    from mulberryswitch.front import (
        Severity,
        check_document,
        compare_documents,
        find_version_problem,
    )

    document = _read_document(path, output)
    problems = check_document(document)
    differences = []
    if against is not None:
        former = _read_document(against, output)
        problems = [*find_version_problem(former, document), *problems]
        differences = compare_documents(former, document)
    rows = [(item.severity.value, item.place, item.reason) for item in problems]
    is_ok = Severity.ERROR.value not in {severity for severity, _, _ in rows}
    if output == "json":
        content = {
            "ok": is_ok,
            "problems": [dict(zip(("severity", "place", "reason"), r, strict=True)) for r in rows],
            "differences": [{"place": d.place, "change": d.change} for d in differences],
        }
        click.echo(json.dumps(content))
    else:
        for severity, place, reason in rows:
            click.echo(f"{severity}: {place}: {reason}")
        for item in differences:
            click.echo(f"change: {item.place}: {item.change}")
        click.echo(f"{path}: {'may be sent' if is_ok else 'must not be sent'}")
    sys.exit(0 if is_ok else EXIT_REFUSED)


def _read_document(path: Path, output: str) -> Any:
    """Return the configuration in a file; exit with an error that names the place in it."""
    from mulberryswitch.platform import parse_config_document

    try:
        return parse_config_document(path.read_bytes())
    except (OSError, ValueError) as exc:
        problem = {"severity": "error", "place": str(path), "reason": str(exc)}
        content = {"ok": False, "problems": [problem], "differences": []}
        click.echo(json.dumps(content) if output == "json" else f"error: {path}: {exc}")
        sys.exit(EXIT_REFUSED)


@front.command()
@click.argument("addresses", nargs=-1, required=True, metavar="IP:PORT...")
@output_option
def status(addresses: tuple[str, ...], output: str) -> None:
    """Show the state of one or more VMs; IP:PORT is the metrics or readiness address.

    \b
    Example: mulberryswitch front status 10.1.0.10:7721 10.2.0.40:7721
    """
    answers, all_answered = query_vms(addresses, "/status")
    if output == "json":
        click.echo(json.dumps(answers))
    else:
        for address, answer in answers.items():
            click.echo(_format_status(address, answer))
    exit_with_status(all_answered)


def _format_status(address: str, answer: dict[str, Any]) -> str:
    if "error" in answer:
        return f"{address}: no answer: {answer['error']}"
    state = "stopping" if answer["stopping"] else "ready" if answer["ready"] else "not ready"
    evacuated = ", ".join(item["zone"] for item in answer["evacuated_zones"])
    suffix = f"; evacuated: {evacuated}, {answer['flows_in_evacuated_zones']} flows left there"
    return (
        f"{answer['vm']} ({answer['zone']}): {state}, version {answer['version']} at revision "
        f"{answer['revision']}, confirmed {answer['confirmed_age_s']:.1f} s ago; "
        f"{answer['routes']} routes, {answer['targets']} targets, {answer['flows']} flows, "
        f"{answer['members']} VMs{suffix if evacuated else ''}"
    )


@front.command()
@click.argument("caller", metavar="CALLER_IP:PORT")
@click.argument("route", metavar="ROUTE_IP:PORT")
@click.option("--vm", "addresses", multiple=True, required=True, metavar="IP:PORT")
@output_option
def explain(caller: str, route: str, addresses: tuple[str, ...], output: str) -> None:
    """Show route, target and state of a flow, and the state of its service's targets at each VM.

    \b
    Example: mulberryswitch front explain 100.64.0.7:40001 198.18.0.1:443 --vm 10.1.0.10:7721
    """
    query = urllib.parse.urlencode({"caller": caller, "route": route})
    answers, all_answered = query_vms(addresses, f"/explain?{query}")
    if output == "json":
        click.echo(json.dumps(answers))
    else:
        for address, answer in answers.items():
            click.echo(_format_flow(address, answer))
    exit_with_status(all_answered)


def _format_flow(address: str, answer: dict[str, Any]) -> str:
    if "error" in answer:
        return f"{address}: no answer: {answer['error']}"
    age = f"{answer['confirmed_age_s']:.1f} s"
    in_force = f"{answer['vm']}: version {answer['version']}, confirmed {age} ago"
    if answer["route"] is None:
        return f"{in_force}; no such route"
    lines = [
        f"{in_force}; route {answer['route']} to {answer['service']}, {_format_flow_state(answer)}"
    ]
    for target in answer["targets"]:
        answered = target["answered_ago_s"]
        lines.append(
            f"  {target['key']} ({target['zone']}): {target['busy']} busy, "
            f"{target['long_flows']} long flows here, "
            f"{'no answer seen' if answered is None else f'answered {answered} s ago'}"
            f"{', ejected' if target['is_ejected'] else ''}"
        )
    return "\n".join(lines)


def _format_flow_state(answer: dict[str, Any]) -> str:
    if answer["token"] is None:
        return "this VM has seen no packet of the flow"
    state = "opening" if answer["is_opening"] else "busy" if answer["is_busy"] else "idle"
    tried = f", tried {', '.join(answer['tried'])}" if answer["tried"] else ""
    return f"{state} at {answer['target'] or 'a target that is gone'}{tried}"


@front.command()
@click.argument("caller", metavar="CALLER_IP:PORT")
@click.argument("route", metavar="ROUTE_IP:PORT")
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path))
def story(caller: str, route: str, paths: tuple[Path, ...]) -> None:
    """Print the log lines of several VMs about a flow, ordered by time.

    This includes lines about the targets that the flow was sent to.

    \b
    Example: mulberryswitch front story 100.64.0.7:40001 198.18.0.1:443 logs/*.json
    """
    lines = [line for path in paths for line in _read_lines(path)]
    flow = f"{caller}>{route}"
    targets = {line["target"] for line in lines if line.get("flow") == flow and "target" in line}
    matching = [
        line
        for line in lines
        if line.get("flow") == flow or ("flow" not in line and line.get("target") in targets)
    ]
    for line in sorted(matching, key=lambda line: line.get("time", "")):
        click.echo(_format_line(line))
    if not matching:
        click.echo(f"no line about {flow}")
        sys.exit(EXIT_REFUSED)


def _read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the JSON records of a log file.

    A log collector may have put a prefix before the JSON of a line.
    """
    try:
        texts = path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise click.ClickException(str(exc)) from exc
    yield from _parse_lines(texts)


def _parse_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in texts:
        try:
            line = json.loads(text[text.index("{") :])
        except ValueError:
            continue  # a line of another program
        if isinstance(line, dict) and "message" in line:
            yield line


def _format_line(line: dict[str, Any]) -> str:
    shown = ("time", "level", "part", "message", "vm", "flow")
    rest = " ".join(f"{name}={value}" for name, value in line.items() if name not in shown)
    return f"{line.get('time', '')} {line.get('vm', '')} {line['message']} {rest}"
