"""Commands of the program ``mulberryswitch``."""

import json
import sys
import time
import urllib.parse
from pathlib import Path
from typing import Any

import click

from mulberryswitch import __version__
from mulberryswitch.configuration import SheetRefusedError, check_sheet
from mulberryswitch.contracts import Settings, SettingsError, read_settings
from mulberryswitch.daemon import run_node
from mulberryswitch.observability import configure_logs

from ._front import front
from ._query import EXIT_REFUSED, exit_with_status, output_option, query_vms

__all__ = ["main"]


operator_option = click.option(
    "--operator",
    "operators",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Operator address of a VM; repeat the option to query several VMs.",
)


def _read_settings_or_exit(path: Path) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as exc:
        for problem in exc.exceptions:
            click.echo(str(problem), err=True)
        sys.exit(EXIT_REFUSED)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Layer-4 load balancer for fleets of small VMs.

    \b
    Exit codes: 0 done; 1 refused; 2 wrong usage; 3 a VM did not answer.
    Shell completion: eval "$(_MULBERRYSWITCH_COMPLETE=bash_source mulberryswitch)"
    """


@main.command()
@click.option(
    "--config", "path", required=True, type=click.Path(path_type=Path), help="INI file of this VM."
)
def node(path: Path) -> None:
    """Run the daemon of an entry VM until SIGTERM.

    \b
    Example: mulberryswitch node --config /etc/mulberryswitch/node.ini
    """
    settings = _read_settings_or_exit(path)
    configure_logs(level=settings.logs.level, vm=settings.node.vm)
    run_node(settings=settings)


@main.command("check-settings")
@click.argument("path", type=click.Path(path_type=Path))
@output_option
def check_settings_command(path: Path, output: str) -> None:
    """Check an INI file and list each invalid key.

    \b
    Example: mulberryswitch check-settings node.ini
    """
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        problems = [
            {"code": int(problem.code), "message": str(problem)} for problem in exc.exceptions
        ]
        if output == "json":
            click.echo(json.dumps({"ok": False, "problems": problems}))
        else:
            click.echo("\n".join(problem["message"] for problem in problems))
        sys.exit(EXIT_REFUSED)
    if output == "json":
        click.echo(json.dumps({"ok": True, "vm": settings.node.vm}))
    else:
        click.echo(f"{path}: settings of VM {settings.node.vm} are valid")


@main.command("check-config")
@click.argument("path", type=click.Path(path_type=Path))
@output_option
def check_config(path: Path, output: str) -> None:
    """Check a sheet as the VMs do and list each refused item with its code.

    Addresses that an earlier sheet bound to another service are not detected, as only the VMs keep
    a record of them.

    \b
    Example: mulberryswitch check-config sheet.json
    """
    try:
        sheet = check_sheet(document=path.read_bytes(), version=1, tombstones={})
    except OSError as exc:
        raise click.ClickException(str(exc)) from exc
    except SheetRefusedError as exc:
        problems = [
            {"code": int(p.code), "item": p.item, "message": p.message} for p in exc.problems
        ]
        if output == "json":
            click.echo(json.dumps({"ok": False, "problems": problems}))
        else:
            for problem in problems:
                click.echo(f"{problem['code']} {problem['item']}: {problem['message']}")
        sys.exit(EXIT_REFUSED)
    targets = sum(len(service.targets) for service in sheet.services.values())
    summary = {"ok": True, "services": len(sheet.services), "targets": targets}
    if output == "json":
        click.echo(json.dumps(summary))
    else:
        click.echo(f"{path}: valid, {len(sheet.services)} services, {targets} targets")


@main.command()
@operator_option
@output_option
def status(operators: tuple[str, ...], output: str) -> None:
    """Show the version in force, refusals, members and targets of one or more VMs.

    \b
    Example: mulberryswitch status --operator 10.0.0.5:7100 --operator 10.0.0.6:7100
    """
    answers, all_answered = query_vms(operators, "/v1/status")
    if output == "json":
        click.echo(json.dumps(answers))
        exit_with_status(all_answered)
    for operator, answer in answers.items():
        click.echo(_format_status(operator, answer))
    exit_with_status(all_answered)


def _format_status(operator: str, answer: dict[str, Any]) -> str:
    if "error" in answer:
        return f"{operator}: no answer: {answer['error']}"
    since = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(answer["since_s"]))
    lines = [
        f"{answer['vm']} ({answer['zone']}): version {answer['version']} in force since {since}"
    ]
    for refused in answer["refused"]:
        lines.append(f"  refused version {refused['version']}: {refused['problem_count']} problems")
        lines += [f"    {p['code']} {p['item']}: {p['message']}" for p in refused["problems"][:10]]
    lines += [f"  member {m['vm']} ({m['zone']}): {m['state']}" for m in answer["members"]]
    lines += [
        f"  target {t['target']} of {t['service']} ({t['zone']}): {t['state']}, "
        f"{t['flows']} flows here, {'linked' if t['linked'] else 'not linked'}"
        for t in answer["targets"]
    ]
    return "\n".join(lines)


@main.command()
@click.argument("flow")
@click.option("--address", required=True, metavar="IP:PORT", help="Service address of the flow.")
@operator_option
@output_option
def explain(flow: str, address: str, operators: tuple[str, ...], output: str) -> None:
    """Show service, shard, owner and target of FLOW, a flow id in hexadecimal.

    \b
    Example: mulberryswitch explain 00ff12ab --address 10.1.0.1:443 --operator 10.0.0.5:7100
    """
    query = urllib.parse.urlencode({"flow": flow, "address": address})
    answers, all_answered = query_vms(operators, f"/v1/explain?{query}")
    if output == "json":
        click.echo(json.dumps(answers))
    else:
        for operator, answer in answers.items():
            click.echo(f"{operator}: {_format_explanation(answer)}")
    exit_with_status(all_answered)


def _format_explanation(answer: dict[str, Any]) -> str:
    if "error" in answer:
        return f"no answer: {answer['error']}"
    if answer["service"] is None:
        return f"{answer['address']}: {answer['reason']}"
    text = f"{answer['address']} is {answer['service']}, shard {answer['shard']}"
    if not answer["served_here"]:
        return f"{text}, owned by {answer['owner']}; ask that VM for the target"
    if not answer["pinned_target"]:
        return f"{text}, owned by this VM, which knows no such flow"
    return f"{text}, owned by this VM, target {answer['pinned_target']}"


@main.command()
@operator_option
@output_option
def drain(operators: tuple[str, ...], output: str) -> None:
    """Show the flows and requests that a leaving VM or target still has to wait for.

    \b
    Example: mulberryswitch drain --operator 10.0.0.5:7100
    """
    answers, all_answered = query_vms(operators, "/v1/holds")
    if output == "json":
        click.echo(json.dumps(answers))
        exit_with_status(all_answered)
    for operator, answer in answers.items():
        if "error" in answer:
            click.echo(f"{operator}: no answer: {answer['error']}")
            continue
        state = "leaving" if answer["leaving"] else "serving"
        click.echo(f"{answer['vm']} ({state}): {answer['pending']} forwarded requests pending")
        for target, flows in answer["flows"].items():
            click.echo(f"  target {target}: {flows} open flows")
        for held in answer["requests"]:
            click.echo(
                f"  request {held['flow']}/{held['request_id']} of {held['service']}: "
                f"{held['state']} {held['target']}"
            )
    exit_with_status(all_answered)


main.add_command(front)
