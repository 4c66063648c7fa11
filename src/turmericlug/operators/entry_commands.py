"""``turmericlug entry``: questions to a running entry instance, on its metrics address."""

from __future__ import annotations

import typing
import urllib.parse

import typer

from turmericlug.operators import tables

commands = typer.Typer(
    no_args_is_help=True,
    help="Ask an entry instance what it believes; --url is its metrics address.",
)

Plain = dict[str, typing.Any]
EXIT_NO_ROUTE = 1


@commands.command()
def status(context: typer.Context) -> None:
    """Show configuration, source, instances and replicas as the instance believes them."""
    answer = context.obj.call("GET", "/status")
    context.obj.show(answer, _print_status)


def _print_status(answer: Plain) -> None:
    state = "ready" if answer["ready"] else "NOT ready"
    typer.echo(f"{answer['instance']}: {state}, {_believed(answer)}")
    typer.echo(f"instances: {', '.join(answer['instances'])}")
    for title in ("replicas", "connections"):
        told = ", ".join(f"{count} {what}" for what, count in answer[title].items())
        typer.echo(f"{title}: {told or 'none'}")
    for data_centre, age_s in answer["evacuated_age_s"].items():
        typer.echo(f"evacuated: {data_centre}, for {age_s} s")
    if answer["cold_left_s"]:
        typer.echo(f"cold: {len(answer['cold_left_s'])} replicas")


def _believed(answer: Plain) -> str:
    age_s = answer["source_age_s"]
    heard = "never heard from the store" if age_s is None else f"news {age_s} s old"
    return f"configuration version {answer['configuration_version']}, {heard}"


@commands.command()
def explain(
    context: typer.Context,
    host: typing.Annotated[str, typer.Argument(help="Host that the caller asks for.")],
    path: typing.Annotated[str, typer.Argument(help="Path of the request, from /.")],
) -> None:
    """Show the route that a request would take and how its replicas stand, best first."""
    query = urllib.parse.urlencode({"host": host, "path": path})
    answer = context.obj.call("GET", f"/explain?{query}")
    context.obj.show(answer, _print_explanation)
    if answer["route"] is None:
        raise typer.Exit(EXIT_NO_ROUTE)


def _print_explanation(answer: Plain) -> None:
    typer.echo(_believed(answer))
    route = answer["route"]
    if route is None:
        typer.echo("no route matches")
        return
    wanted = ("timeout_ms", "goal_ms", "priority", "max_attempts", "idempotent")
    told = ", ".join(f"{key} = {route[key]}" for key in wanted)
    typer.echo(f"route {route['name']}, prefix {route['prefix']}: {told}")
    columns = ["service", "replica", "data centre", "state", "sends", "expected ms"]
    keys = ("service", "replica", "data_centre", "state", "sends", "expected_ms")
    tables.show("Replicas", columns, ([each[key] for key in keys] for each in answer["replicas"]))


@commands.command()
def quarantine(context: typer.Context) -> None:
    """Show the requests that are held back, as replicas ended under them."""
    answer = context.obj.call("GET", "/quarantine")
    context.obj.show(answer, _print_quarantine)


def _print_quarantine(answer: Plain) -> None:
    if not answer["requests"]:
        typer.echo("no request is held back")
        return
    rows = (
        [
            each["content"],
            each["verdict"],
            ", ".join(f"{name} {age_s} s ago" for name, age_s in each["ends"].items()),
        ]
        for each in answer["requests"]
    )
    tables.show("Requests", ["content", "verdict", "replicas that ended"], rows)


@commands.command()
def lift(
    context: typer.Context,
    content: typing.Annotated[str, typer.Argument(help="Content as `quarantine` shows it.")],
) -> None:
    """Allow a request that is held back, at all instances."""
    answer = context.obj.call("POST", f"/quarantine/{urllib.parse.quote(content, safe='')}")
    context.obj.show(answer, lambda told: typer.echo(f"allowed: {told['lifted']}"))
