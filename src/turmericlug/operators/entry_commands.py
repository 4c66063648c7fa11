"""``turmericlug entry``: inspect a running entry instance through its metrics address."""

from __future__ import annotations

import typing
import urllib.parse

import typer

from turmericlug.operators import reasons
from turmericlug.operators import tables

commands = typer.Typer(
    no_args_is_help=True,
    help="Inspect a running entry instance; --url is its metrics address.",
)

Json = dict[str, typing.Any]
EXIT_NO_ROUTE = 1


@commands.command()
def status(context: typer.Context) -> None:
    """Show the configuration, source, instances and replicas as the instance knows them."""
    response = context.obj.call("GET", "/status")
    context.obj.show(response, _print_status)


def _print_status(response: Json) -> None:
    readiness = "ready" if response["ready"] else "NOT ready"
    typer.echo(f"{response['instance']}: {readiness}, {_format_configuration(response)}")
    typer.echo(f"instances: {', '.join(response['instances'])}")
    for field in ("replicas", "connections"):
        summary = ", ".join(f"{count} {kind}" for kind, count in response[field].items())
        typer.echo(f"{field}: {summary or 'none'}")
    typer.echo(f"capacity: {_format_capacity(response['capacity'])}")
    _print_failing_tasks(response.get("tasks", {}))
    for data_centre, age_s in response["evacuated_age_s"].items():
        typer.echo(f"evacuated: {data_centre}, for {age_s} s")
    if response["cold_left_s"]:
        typer.echo(f"cold: {len(response['cold_left_s'])} replicas")


def _print_failing_tasks(tasks: Json) -> None:
    """Show the tasks that don't run, or have failed and run again for a short time only."""
    for name, task in tasks.items():
        if task["state"] == "running" and not task["failures_in_a_row"]:
            continue
        summary = f"failed {task['failures_in_a_row']} times in a row"
        typer.echo(f"task {name}: {task['state']}, {summary}: {task['reason']} ({task['place']})")
        typer.echo(f"  while it does not run: {task['effect']}")


def _format_capacity(capacity: Json) -> str:
    if not capacity["weighted"] or capacity["share"] is None:
        return f"{capacity['own']}; work is not weighted, as instances are about equal"
    return f"{capacity['own']}, {capacity['share']:.2%} of that of all instances"


def _format_configuration(response: Json) -> str:
    age_s = response["source_age_s"]
    last_update = (
        "nothing received from the store" if age_s is None else f"last update {age_s} s ago"
    )
    return f"configuration version {response['configuration_version']}, {last_update}"


@commands.command()
def explain(
    context: typer.Context,
    host: typing.Annotated[str, typer.Argument(help="Host of the request.")],
    path: typing.Annotated[str, typer.Argument(help="Path of the request, starting with /.")],
) -> None:
    """Show the route of a request and the state of its replicas, preferred ones first."""
    parameters = urllib.parse.urlencode({"host": host, "path": path})
    response = context.obj.call("GET", f"/explain?{parameters}")
    context.obj.show(response, _print_explanation)
    if response["route"] is None:
        raise typer.Exit(EXIT_NO_ROUTE)


def _print_explanation(response: Json) -> None:
    typer.echo(_format_configuration(response))
    route = response["route"]
    if route is None:
        typer.echo("no route matches")
        return
    shown_fields = ("timeout_ms", "goal_ms", "priority", "max_attempts", "idempotent")
    summary = ", ".join(f"{key} = {route[key]}" for key in shown_fields)
    typer.echo(f"route {route['name']}, prefix {route['prefix']}: {summary}")
    columns = ["service", "replica", "data centre", "state", "sends", "expected ms"]
    keys = ("service", "replica", "data_centre", "state", "sends", "expected_ms")
    tables.show(
        "Replicas", columns, ([replica[key] for key in keys] for replica in response["replicas"])
    )


@commands.command()
def organisations(
    context: typer.Context,
    name: typing.Annotated[
        list[str], typer.Argument(help="Organisations to show; the busiest ones by default.")
    ] = [],  # noqa: B006 - typer needs a list as the default
) -> None:
    """Show the quotas of organisations and how their requests ended at this instance."""
    parameters = urllib.parse.urlencode([("name", each) for each in name])
    response = context.obj.call("GET", f"/organisations?{parameters}")
    context.obj.show(response, _print_organisations)


def _print_organisations(response: Json) -> None:
    typer.echo(_format_configuration(response))
    if response["configured"] is None:
        typer.echo("the configuration names no organisations")
        return
    typer.echo(f"organisations that hold keys: {response['configured']}")
    if not response["is_complete"]:
        typer.echo("some entries could not be read: an unknown key gets 503")
    columns = [
        "organisation",
        "priority",
        "quota/s",
        "burst",
        "rate/s",
        "leased",
        "state",
        "holder",
    ]
    rows = [
        [
            organisation["organisation"] + ("" if organisation["has_keys"] else " (no key)"),
            _format_optional(organisation["priority"]),
            _format_rate(organisation["rate_per_s"]),
            _format_optional(organisation["burst"]),
            *_format_quota(organisation["quota"]),
            _format_counts(organisation["counts"]),
        ]
        for organisation in response["organisations"]
    ]
    tables.show("Organisations", [*columns, "age s", "requests"], rows)
    if response["others"]:
        typer.echo(f"all others: {_format_counts(response['others'])}")


def _format_quota(quota: Json | None) -> list[str]:
    keys = ("rate_per_s", "leased", "state", "holder", "age_s")
    return [_format_optional(quota[key]) if quota else "-" for key in keys]


def _format_rate(rate_per_s: float | None) -> str:
    return "unlimited" if rate_per_s == 0 else _format_optional(rate_per_s)


def _format_optional(value: typing.Any) -> str:
    return "-" if value is None else str(value)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(
        f"{count} {_format_outcome(outcome)}" for outcome, count in sorted(counts.items())
    )


def _format_outcome(outcome: str) -> str:
    kind, dot, reason = outcome.partition(".")
    return f"{kind}: {reasons.text(reason)}" if dot else kind


@commands.command()
def quarantine(context: typer.Context) -> None:
    """Show the requests that are withheld because replicas crashed while running them."""
    response = context.obj.call("GET", "/quarantine")
    context.obj.show(response, _print_quarantine)


def _print_quarantine(response: Json) -> None:
    if not response["requests"]:
        typer.echo("no request is withheld")
        return
    rows = (
        [
            request["content"],
            request["verdict"],
            ", ".join(f"{replica} {age_s} s ago" for replica, age_s in request["ends"].items()),
        ]
        for request in response["requests"]
    )
    tables.show("Requests", ["content", "verdict", "replicas that ended"], rows)


@commands.command()
def lift(
    context: typer.Context,
    content: typing.Annotated[
        str, typer.Argument(help="Content of the request, as `quarantine` shows it.")
    ],
) -> None:
    """Allow a withheld request again, on all instances."""
    response = context.obj.call("POST", f"/quarantine/{urllib.parse.quote(content, safe='')}")
    context.obj.show(response, lambda body: typer.echo(f"allowed: {body['lifted']}"))
