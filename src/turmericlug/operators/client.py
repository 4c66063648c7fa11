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
EXIT_NOT_EVERYWHERE = 4
EXIT_NOT_FOUND = 5
_TIMEOUT_S = 30.0

application = typer.Typer(no_args_is_help=True)
rules = typer.Typer(no_args_is_help=True, help="Look at the rules and change them.")
catalog = typer.Typer(no_args_is_help=True, help="Services, groups and index snapshots.")
application.add_typer(rules, name="rules")
application.add_typer(catalog, name="catalog")
application.add_typer(entry_commands.commands, name="entry")

Plain = dict[str, typing.Any]
RuleFile = typing.Annotated[
    pathlib.Path, typer.Argument(help="File with one [rule NAME] section; - for standard input.")
]
Name = typing.Annotated[str, typer.Argument(help="Name of the rule.")]
Before = typing.Annotated[str, typer.Option(help="Put it right before this rule.")]
After = typing.Annotated[str, typer.Option(help="Put it right after this rule.")]
Base = typing.Annotated[
    int, typer.Option(help="Revision you looked at: conflicts with later edits of it are told.")
]
EditId = typing.Annotated[
    str, typer.Option("--edit", help="Identifier; repeat an edit of unknown outcome with its own.")
]


@application.callback()
def main(
    context: typer.Context,
    url: typing.Annotated[
        str, typer.Option(envvar="TURMERICLUG_URL", help="Operators' address of any instance.")
    ] = "http://127.0.0.1:7003",
    token: typing.Annotated[
        str, typer.Option(envvar="TURMERICLUG_TOKEN", help="operators_token of the settings.")
    ] = "",
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON for programs instead of tables.")
    ] = False,
    version: version_module.Option = False,
) -> None:
    """
    Drive turmericlug: write, reorder and retire rules, and see what every instance does.

    Exit codes: 0 done and, for edits, in force everywhere; 1 rejected or in conflict; 2 wrong
    usage; 3 no instance or no store answered; 4 stored, but not yet in force everywhere;
    5 no log line names the request.
    """
    context.obj = _Caller(url.rstrip("/"), token, as_json)


class _Caller:
    """How to reach an instance, and how to print."""

    def __init__(self, url: str, token: str, as_json: bool) -> None:
        self._url = url
        self._token = token
        self._as_json = as_json

    def call(self, method: str, path: str, plain: typing.Any = None) -> Plain:
        """Call an instance; end the program with a clear message if that does not work."""
        try:
            status, answer = asyncio.run(self._call(method, path, plain))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            typer.echo(f"{self._url} does not answer: {error or type(error).__name__}", err=True)
            raise typer.Exit(EXIT_UNREACHABLE) from error
        if status < 300:
            return answer
        if self._as_json:
            typer.echo(json.dumps(answer))
        for problem in answer.get("problems", [f"status {status}"]):
            typer.echo(f"{answer.get('outcome', 'rejected')}: {problem}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE if status == 503 else EXIT_REJECTED)

    async def _call(self, method: str, path: str, plain: typing.Any) -> tuple[int, Plain]:
        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            async with session.request(method, self._url + path, json=plain) as response:
                return response.status, await response.json()

    def show(self, answer: Plain, people: abc.Callable[[Plain], None]) -> None:
        """Print an answer as JSON or for people."""
        if self._as_json:
            typer.echo(json.dumps(answer))
        else:
            people(answer)


def _pairs(plain: Plain) -> str:
    return ", ".join(
        f"{key} = {'|'.join(value) if isinstance(value, list) else value}"
        for key, value in plain.items()
    )


def _read(path: pathlib.Path) -> str:
    if str(path) == "-":
        return sys.stdin.read()
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


@rules.command("list")
def list_rules(context: typer.Context) -> None:
    """List the rules in order; the first that matches decides."""

    def people(answer: Plain) -> None:
        rows = [
            (number, rule["name"], _pairs(rule["when"]) or "always", _pairs(rule["then"]))
            for number, rule in enumerate(answer["rules"], 1)
        ]
        tables.show(f"Revision {answer['revision']}", ["#", "rule", "when", "then"], rows)

    context.obj.show(context.obj.call("GET", "/v1/rules"), people)


def _edit(context: typer.Context, plain: Plain) -> None:
    plain["operator"] = os.environ.get("TURMERICLUG_OPERATOR", os.environ.get("USER", "unnamed"))
    answer = context.obj.call("POST", "/v1/rules/edit", plain)
    context.obj.show(answer, _print_stored)
    if answer["waiting_for"]:
        raise typer.Exit(EXIT_NOT_EVERYWHERE)


def _print_stored(answer: Plain) -> None:
    if answer["waiting_for"]:
        waiting = ", ".join(answer["waiting_for"])
        typer.echo(f"stored as revision {answer['revision']}, waiting for: {waiting}")
        typer.echo("ask again with: turmericlug rules confirm")
    else:
        typer.echo(f"accepted: revision {answer['revision']} is in force everywhere")


@rules.command()
def add(
    context: typer.Context,
    file: RuleFile,
    before: Before = "",
    after: After = "",
    base: Base = 0,
    edit: EditId = "",
) -> None:
    """Add a rule; at the end unless told where."""
    plain = {"operation": "add", "text": _read(file), "before": before, "after": after}
    _edit(context, plain | {"base": base, "edit": edit})


@rules.command()
def replace(context: typer.Context, file: RuleFile, base: Base = 0, edit: EditId = "") -> None:
    """Replace the rule of the same name where it stands."""
    plain = {"operation": "replace", "text": _read(file), "base": base, "edit": edit}
    _edit(context, plain)


@rules.command()
def move(
    context: typer.Context,
    name: Name,
    before: Before = "",
    after: After = "",
    base: Base = 0,
    edit: EditId = "",
) -> None:
    """Move a rule."""
    plain = {"operation": "move", "name": name, "before": before, "after": after}
    _edit(context, plain | {"base": base, "edit": edit})


@rules.command()
def retire(context: typer.Context, name: Name, base: Base = 0, edit: EditId = "") -> None:
    """Take a rule out of force."""
    _edit(context, {"operation": "retire", "name": name, "base": base, "edit": edit})


@rules.command()
def confirm(context: typer.Context) -> None:
    """Ask whether the newest revision is in force everywhere by now."""
    answer = context.obj.call("POST", "/v1/rules/confirm", {})
    context.obj.show(answer, _print_stored)
    if answer["waiting_for"]:
        raise typer.Exit(EXIT_NOT_EVERYWHERE)


@rules.command()
def history(
    context: typer.Context,
    limit: typing.Annotated[int, typer.Option(min=1, max=64, help="How many edits.")] = 20,
) -> None:
    """Show who changed what, the newest first."""

    def people(answer: Plain) -> None:
        columns = ["revision", "operator", "operation", "rule", "at_s", "edit"]
        rows = [[entry[column] for column in columns] for entry in answer["edits"]]
        tables.show("History", columns, rows)

    context.obj.show(context.obj.call("GET", f"/v1/rules/history?limit={limit}"), people)


@rules.command()
def check(context: typer.Context, file: RuleFile) -> None:
    """Check rules against those in force, without writing."""
    answer = context.obj.call("POST", "/v1/rules/check", {"text": _read(file)})
    context.obj.show(answer, lambda _: typer.echo(f"valid: {', '.join(answer['rules'])}"))


@rules.command()
def explain(
    context: typer.Context,
    service: typing.Annotated[str, typer.Option(help="Service or group asked for.")],
    caller: typing.Annotated[str, typer.Option(help="Who asks.")],
    data_centre: typing.Annotated[str, typer.Option(help="The caller's data centre.")] = "",
    priority: typing.Annotated[int, typer.Option(help="The priority asked for.")] = 5,
    header: typing.Annotated[
        list[str], typer.Option(help="NAME=VALUE, repeatable.")
    ] = [],  # noqa: B006 - typer wants a list
) -> None:
    """Show which rule a request would match, and why the earlier ones do not."""
    headers = dict(each.split("=", 1) for each in header if "=" in each)
    plain = {
        "service": service,
        "caller": caller,
        "data_centre": data_centre,
        "priority": priority,
        "headers": headers,
    }

    def people(answer: Plain) -> None:
        rows = [
            (step["rule"], "matches" if step["matches"] else "no", step["because"])
            for step in answer["steps"]
        ]
        tables.show(f"Revision {answer['revision']}", ["rule", "matches", "because"], rows)
        treatment = {key: each for key, each in answer["treatment"].items() if each is not None}
        typer.echo(f"treatment: {_pairs(treatment)}")

    context.obj.show(context.obj.call("POST", "/v1/rules/explain", plain), people)


@catalog.command("get")
def get_catalog(context: typer.Context) -> None:
    """Print the catalogue in force, as JSON."""
    answer = context.obj.call("GET", "/v1/catalog")
    context.obj.show(answer, lambda _: typer.echo(json.dumps(answer["catalog"], indent=2)))


@catalog.command("put")
def put_catalog(
    context: typer.Context,
    file: typing.Annotated[pathlib.Path, typer.Argument(help="JSON file; - for standard input.")],
) -> None:
    """Put a whole catalogue in force."""
    try:
        plain = json.loads(_read(file))
    except ValueError as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    answer = context.obj.call("PUT", "/v1/catalog", plain)
    context.obj.show(answer, _print_stored)
    if answer["waiting_for"]:
        raise typer.Exit(EXIT_NOT_EVERYWHERE)


@application.command()
def status(
    context: typer.Context,
    targets: typing.Annotated[bool, typer.Option(help="Also list every target.")] = False,
) -> None:
    """Show the instances, who runs which revision, owners, targets and the store."""

    def people(answer: Plain) -> None:
        store = "reachable" if answer["store_reachable"] else "NOT reachable"
        typer.echo(f"store: {store}; rules revision {answer['rules_revision']}")
        for name in answer["listed_but_unreached"]:
            typer.echo(f"listed by the platform but not reached: {name}")
        columns = ["instance", "state", "data centre", "rules", "current", "store", "owns"]
        tables.show("Instances", columns, (_instance_row(each) for each in answer["instances"]))
        if targets:
            columns = ["target", "owner", "in flight", "limit", "slots", "latency ms", "state"]
            tables.show("Targets", columns, _target_rows(answer["instances"]))

    context.obj.show(context.obj.call("GET", "/v1/status"), people)


def _instance_row(each: Plain) -> list[typing.Any]:
    if not each["reached"]:
        return [each["instance"], each["state"], "", "", "not reached", "", ""]
    owned = [service["service"] for service in each["services"] if service["owned"]]
    return [
        each["instance"],
        each["state"],
        each["data_centre"],
        each["rules_revision"],
        "yes" if each["current"] else "NO",
        "yes" if each["store_reachable"] else "no",
        f"{len(owned)} services",
    ]


def _target_rows(instances: list[Plain]) -> abc.Iterator[list[typing.Any]]:
    for instance in instances:
        for service in instance.get("services", []):
            for each in service["targets"] if service["owned"] else []:
                state = each["leaving"] and f"leaving ({each['leaving']})"
                state = state or ("ejected" if each["ejected"] else "")
                state = state or ("suspected" if each["suspected"] else "in use")
                numbers = [each[key] for key in ("in_flight", "limit", "slots", "latency_ms")]
                yield [each["target"], instance["instance"], *numbers, state]


@application.command()
def drain(context: typer.Context) -> None:
    """Stop the instance at --url gracefully, as SIGTERM does."""
    answer = context.obj.call("POST", "/v1/drain", {})
    context.obj.show(answer, lambda _: typer.echo("draining: it exits once nothing is under way"))


Logs = typing.Annotated[
    list[pathlib.Path] | None,
    typer.Argument(help="Files with the instances' output; none: standard input."),
]


def _decisions(logs: list[pathlib.Path] | None) -> list[trace_module.Line]:
    texts: list[str] = []
    for path in logs or []:
        texts += _read(path).splitlines()
    if not logs:
        texts = sys.stdin.read().splitlines()
    return trace_module.parse(texts)


@application.command("trace")
def trace_request(
    request: typing.Annotated[str, typer.Argument(help="The id of the request.")],
    logs: Logs = None,
) -> None:
    """Tell how a request ended and why, by the decision lines of all instances."""
    found = trace_module.trace(_decisions(logs), request)
    for line in trace_module.describe(found):
        typer.echo(line)
    if not found.lines:
        raise typer.Exit(EXIT_NOT_FOUND)


@application.command("losses")
def tell_losses(
    logs: Logs = None,
    every_s: typing.Annotated[
        float, typer.Option("--every-s", min=0.1, help="Length of a span of time.")
    ] = 2.0,
    plot: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Draw them over time into this file, too.")
    ] = None,
) -> None:
    """Tell which goals were missed and which requests were lost, when and why."""
    found = losses.losses(_decisions(logs))
    for line in losses.describe(found, every_s):
        typer.echo(line)
    if plot is not None:
        from turmericlug.operators import loss_plot  # half a second, for this alone

        loss_plot.draw(found, every_s, plot)
    if not found.endings:
        raise typer.Exit(EXIT_NOT_FOUND)


def run() -> None:
    """Start the program."""
    application()
