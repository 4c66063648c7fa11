"""``turmericlug``: the operators' command-line client."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing
from collections import abc

import aiohttp
import typer

from turmericlug.config import version as version_module
from turmericlug.operators import entry_commands
from turmericlug.operators import losses
from turmericlug.operators import tables
from turmericlug.operators import trace as trace_module

EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_YET_IN_FORCE = 4
EXIT_NOT_FOUND = 5
_TIMEOUT_S = 30.0

application = typer.Typer(no_args_is_help=True)
rules = typer.Typer(no_args_is_help=True, help="List, check, explain and edit the rules.")
catalog = typer.Typer(no_args_is_help=True, help="Services, groups and index snapshots.")
application.add_typer(rules, name="rules")
application.add_typer(catalog, name="catalog")
application.add_typer(entry_commands.commands, name="entry")

Json = dict[str, typing.Any]
RuleFile = typing.Annotated[
    pathlib.Path, typer.Argument(help="File with one [rule NAME] section; - for standard input.")
]
RuleName = typing.Annotated[str, typer.Argument(help="Name of the rule.")]
Before = typing.Annotated[str, typer.Option(help="Insert the rule directly before this one.")]
After = typing.Annotated[str, typer.Option(help="Insert the rule directly after this one.")]
Base = typing.Annotated[
    int,
    typer.Option(help="Revision the edit is based on: a conflict with a later edit is reported."),
]
EditId = typing.Annotated[
    str,
    typer.Option(
        "--edit", help="Edit identifier; repeat an edit of unknown outcome with the same one."
    ),
]


@application.callback()
def main(
    context: typer.Context,
    url: typing.Annotated[
        str,
        typer.Option(envvar="TURMERICLUG_URL", help="URL of the operators' port of any instance."),
    ] = "http://127.0.0.1:7003",
    token: typing.Annotated[
        str,
        typer.Option(
            envvar="TURMERICLUG_TOKEN", help="Bearer token; operators_token in the settings."
        ),
    ] = "",
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON instead of tables.")
    ] = False,
    version: version_module.Option = False,
) -> None:
    """
    Operate turmericlug: add, move, replace and retire rules, and show the state of all instances.

    Exit codes: 0 success (an edit is in force everywhere); 1 rejected or in conflict; 2 wrong
    usage; 3 no response from the instance or the store; 4 stored, but not yet in force everywhere;
    5 no log line names the request.
    """
    context.obj = _Client(url.rstrip("/"), token, as_json)


class _Client:
    """HTTP client of one instance, which also prints the responses as JSON or as text."""

    def __init__(self, url: str, token: str, as_json: bool) -> None:
        self._url = url
        self._token = token
        self._as_json = as_json

    def call(self, method: str, path: str, body: typing.Any = None) -> Json:
        """Send a request; on failure, print the problems and exit with the matching code."""
        try:
            status, response = asyncio.run(self._call(method, path, body))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            typer.echo(f"{self._url} does not respond: {error or type(error).__name__}", err=True)
            raise typer.Exit(EXIT_UNREACHABLE) from error
        if status < 300:
            return response
        if self._as_json:
            typer.echo(json.dumps(response))
        for problem in response.get("problems", [f"status {status}"]):
            typer.echo(f"{response.get('outcome', 'rejected')}: {problem}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE if status == 503 else EXIT_REJECTED)

    async def _call(self, method: str, path: str, body: typing.Any) -> tuple[int, Json]:
        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            async with session.request(method, self._url + path, json=body) as http_response:
                return http_response.status, await http_response.json()

    def show(self, response: Json, print_text: abc.Callable[[Json], None]) -> None:
        """Print a response: with --json as JSON, otherwise by ``print_text``."""
        if self._as_json:
            typer.echo(json.dumps(response))
        else:
            print_text(response)


def _format_pairs(values: Json) -> str:
    return ", ".join(
        f"{key} = {'|'.join(value) if isinstance(value, list) else value}"
        for key, value in values.items()
    )


def _read_text(path: pathlib.Path) -> str:
    if str(path) == "-":
        return sys.stdin.read()
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


@rules.command("list")
def list_rules(context: typer.Context) -> None:
    """List the rules in order of evaluation; the first match applies."""

    def print_table(response: Json) -> None:
        rows = [
            (
                position,
                rule["name"],
                _format_pairs(rule["when"]) or "always",
                _format_pairs(rule["then"]),
            )
            for position, rule in enumerate(response["rules"], 1)
        ]
        tables.show(f"Revision {response['revision']}", ["#", "rule", "when", "then"], rows)

    context.obj.show(context.obj.call("GET", "/v1/rules"), print_table)


def _send_edit(context: typer.Context, body: Json) -> None:
    body["operator"] = os.environ.get("TURMERICLUG_OPERATOR", os.environ.get("USER", "unnamed"))
    response = context.obj.call("POST", "/v1/rules/edit", body)
    context.obj.show(response, _print_stored_revision)
    if response["waiting_for"]:
        raise typer.Exit(EXIT_NOT_YET_IN_FORCE)


def _print_stored_revision(response: Json) -> None:
    if response["waiting_for"]:
        waiting = ", ".join(response["waiting_for"])
        typer.echo(f"stored as revision {response['revision']}, waiting for: {waiting}")
        typer.echo("check again with: turmericlug rules confirm")
    else:
        typer.echo(f"accepted: revision {response['revision']} is in force everywhere")


@rules.command()
def add(
    context: typer.Context,
    file: RuleFile,
    before: Before = "",
    after: After = "",
    base: Base = 0,
    edit: EditId = "",
) -> None:
    """Add a rule, by default after all others."""
    body = {"operation": "add", "text": _read_text(file), "before": before, "after": after}
    _send_edit(context, body | {"base": base, "edit": edit})


@rules.command()
def replace(context: typer.Context, file: RuleFile, base: Base = 0, edit: EditId = "") -> None:
    """Replace the rule of the same name, keeping its position."""
    body = {"operation": "replace", "text": _read_text(file), "base": base, "edit": edit}
    _send_edit(context, body)


@rules.command()
def move(
    context: typer.Context,
    name: RuleName,
    before: Before = "",
    after: After = "",
    base: Base = 0,
    edit: EditId = "",
) -> None:
    """Move a rule to another position."""
    body = {"operation": "move", "name": name, "before": before, "after": after}
    _send_edit(context, body | {"base": base, "edit": edit})


@rules.command()
def retire(context: typer.Context, name: RuleName, base: Base = 0, edit: EditId = "") -> None:
    """Remove a rule."""
    _send_edit(context, {"operation": "retire", "name": name, "base": base, "edit": edit})


@rules.command()
def confirm(context: typer.Context) -> None:
    """Check whether the latest revision is in force everywhere."""
    response = context.obj.call("POST", "/v1/rules/confirm", {})
    context.obj.show(response, _print_stored_revision)
    if response["waiting_for"]:
        raise typer.Exit(EXIT_NOT_YET_IN_FORCE)


@rules.command()
def history(
    context: typer.Context,
    limit: typing.Annotated[int, typer.Option(min=1, max=64, help="Maximum number of edits.")] = 20,
) -> None:
    """Show past edits, newest first."""

    def print_table(response: Json) -> None:
        columns = ["revision", "operator", "operation", "rule", "at_s", "edit"]
        rows = [[entry[column] for column in columns] for entry in response["edits"]]
        tables.show("History", columns, rows)

    context.obj.show(context.obj.call("GET", f"/v1/rules/history?limit={limit}"), print_table)


@rules.command()
def check(context: typer.Context, file: RuleFile) -> None:
    """Validate rules against those in force, without storing them."""
    response = context.obj.call("POST", "/v1/rules/check", {"text": _read_text(file)})
    context.obj.show(response, lambda _: typer.echo(f"valid: {', '.join(response['rules'])}"))


@rules.command()
def explain(
    context: typer.Context,
    service: typing.Annotated[str, typer.Option(help="Requested service or group.")],
    caller: typing.Annotated[str, typer.Option(help="Name of the caller.")],
    data_centre: typing.Annotated[str, typer.Option(help="Data centre of the caller.")] = "",
    priority: typing.Annotated[int, typer.Option(help="Requested priority.")] = 5,
    header: typing.Annotated[
        list[str], typer.Option(help="Request header as NAME=VALUE; repeatable.")
    ] = [],  # noqa: B006 - typer requires a list
) -> None:
    """Show which rule a request would match, and why the rules before it do not."""
    headers = dict(text.split("=", 1) for text in header if "=" in text)
    body = {
        "service": service,
        "caller": caller,
        "data_centre": data_centre,
        "priority": priority,
        "headers": headers,
    }

    def print_table(response: Json) -> None:
        rows = [
            (step["rule"], "matches" if step["matches"] else "no", step["because"])
            for step in response["steps"]
        ]
        tables.show(f"Revision {response['revision']}", ["rule", "matches", "because"], rows)
        treatment = {
            key: value for key, value in response["treatment"].items() if value is not None
        }
        typer.echo(f"treatment: {_format_pairs(treatment)}")

    context.obj.show(context.obj.call("POST", "/v1/rules/explain", body), print_table)


@catalog.command("get")
def get_catalog(context: typer.Context) -> None:
    """Print the catalogue in force, as JSON."""
    response = context.obj.call("GET", "/v1/catalog")
    context.obj.show(response, lambda _: typer.echo(json.dumps(response["catalog"], indent=2)))


@catalog.command("put")
def put_catalog(
    context: typer.Context,
    file: typing.Annotated[pathlib.Path, typer.Argument(help="JSON file; - for standard input.")],
) -> None:
    """Replace the whole catalogue."""
    try:
        body = json.loads(_read_text(file))
    except ValueError as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    response = context.obj.call("PUT", "/v1/catalog", body)
    context.obj.show(response, _print_stored_revision)
    if response["waiting_for"]:
        raise typer.Exit(EXIT_NOT_YET_IN_FORCE)


@application.command()
def status(
    context: typer.Context,
    targets: typing.Annotated[bool, typer.Option(help="Also list all targets.")] = False,
) -> None:
    """Show the instances with their rules revision, owned services, targets and store state."""

    def print_table(response: Json) -> None:
        store = "reachable" if response["store_reachable"] else "NOT reachable"
        typer.echo(f"store: {store}; rules revision {response['rules_revision']}")
        for name in response["listed_but_unreached"]:
            typer.echo(f"listed by the platform but not reached: {name}")
        columns = ["instance", "state", "data centre", "rules", "current", "store", "owns"]
        tables.show(
            "Instances", columns, (_instance_row(instance) for instance in response["instances"])
        )
        if targets:
            columns = ["target", "owner", "in flight", "limit", "slots", "latency ms", "state"]
            tables.show("Targets", columns, _target_rows(response["instances"]))

    context.obj.show(context.obj.call("GET", "/v1/status"), print_table)


def _instance_row(instance: Json) -> list[typing.Any]:
    if not instance["reached"]:
        return [instance["instance"], instance["state"], "", "", "not reached", "", ""]
    owned = [service["service"] for service in instance["services"] if service["owned"]]
    return [
        instance["instance"],
        instance["state"],
        instance["data_centre"],
        instance["rules_revision"],
        "yes" if instance["current"] else "NO",
        "yes" if instance["store_reachable"] else "no",
        f"{len(owned)} services",
    ]


def _target_rows(instances: list[Json]) -> abc.Iterator[list[typing.Any]]:
    for instance in instances:
        for service in instance.get("services", []):
            for target in service["targets"] if service["owned"] else []:
                state = target["leaving"] and f"leaving ({target['leaving']})"
                state = state or ("ejected" if target["ejected"] else "")
                state = state or ("suspected" if target["suspected"] else "in use")
                load_values = [target[key] for key in ("in_flight", "limit", "slots", "latency_ms")]
                yield [target["target"], instance["instance"], *load_values, state]


@application.command()
def drain(context: typer.Context) -> None:
    """Drain and stop the instance at --url, as SIGTERM does."""
    response = context.obj.call("POST", "/v1/drain", {})
    context.obj.show(
        response, lambda _: typer.echo("draining: the instance exits once no request is in flight")
    )


LogFiles = typing.Annotated[
    list[pathlib.Path] | None,
    typer.Argument(help="Log files of the instances; without any, standard input is read."),
]


def _read_decision_lines(logs: list[pathlib.Path] | None) -> list[trace_module.Line]:
    log_lines: list[str] = []
    for path in logs or []:
        log_lines += _read_text(path).splitlines()
    if not logs:
        log_lines = sys.stdin.read().splitlines()
    return trace_module.parse(log_lines)


@application.command("trace")
def trace_request(
    request: typing.Annotated[str, typer.Argument(help="Request identifier.")],
    logs: LogFiles = None,
) -> None:
    """Show how a request ended and why, from the decision logs of all instances."""
    result = trace_module.trace(_read_decision_lines(logs), request)
    for text in trace_module.describe(result):
        typer.echo(text)
    if not result.lines:
        raise typer.Exit(EXIT_NOT_FOUND)


@application.command("losses")
def show_losses(
    logs: LogFiles = None,
    every_s: typing.Annotated[
        float, typer.Option("--every-s", min=0.1, help="Length of a time interval in seconds.")
    ] = 2.0,
    plot: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Also plot the losses over time into this file.")
    ] = None,
) -> None:
    """Show which requests missed their latency goal or were lost, when and why."""
    result = losses.losses(_read_decision_lines(logs))
    for text in losses.describe(result, every_s):
        typer.echo(text)
    if plot is not None:
        from turmericlug.operators import loss_plot  # slow import (0.5 s), needed only here

        loss_plot.draw(result, every_s, plot)
    if not result.endings:
        raise typer.Exit(EXIT_NOT_FOUND)


def run() -> None:
    """Run the command-line client."""
    application()
