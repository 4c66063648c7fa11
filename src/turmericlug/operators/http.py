"""The operators' HTTP interface: rules, catalogue, status, drain; each call with a token."""

from __future__ import annotations

import asyncio
import hmac
import json
import re
import secrets
import typing
from collections import abc

import attrs
from aiohttp import web

from turmericlug.config import settings as settings_module
from turmericlug.membership import detector as detector_module
from turmericlug.owner import owner as owner_module
from turmericlug.rules import configuration
from turmericlug.rules import distribution as distribution_module
from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import parser as parser_module
from turmericlug.rules import repository as repository_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

_STATUS_TIMEOUT_S = 1.0
_MOST_BYTES = 1 << 20
_EDIT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]


class OperatorsHttp:
    """Handlers of the operators' port."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        repository: repository_module.Repository,
        distribution: distribution_module.Distribution,
        detector: detector_module.Detector,
        owner: owner_module.Owner,
        counters: counters_module.Counters,
        drain: abc.Callable[[], None],
    ) -> None:
        self._settings = settings
        self._config = config
        self._repository = repository
        self._distribution = distribution
        self._detector = detector
        self._owner = owner
        self._counters = counters
        self._drain = drain

    def application(self) -> web.Application:
        """Build the routes."""
        application = web.Application(client_max_size=_MOST_BYTES, middlewares=[self._guard])
        router = application.router
        router.add_get("/v1/rules", self._list)
        router.add_post("/v1/rules/check", self._check)
        router.add_post("/v1/rules/edit", self._edit)
        router.add_post("/v1/rules/confirm", self._confirm)
        router.add_post("/v1/rules/explain", self._explain)
        router.add_get("/v1/rules/history", self._history)
        router.add_get("/v1/catalog", self._get_catalog)
        router.add_put("/v1/catalog", self._put_catalog)
        router.add_get("/v1/status", self._status)
        router.add_post("/v1/drain", self._start_drain)
        return application

    @web.middleware
    async def _guard(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        given = request.headers.get("Authorization", "")
        wanted = f"Bearer {self._settings.instance.operators_token}"
        if not hmac.compare_digest(given.encode(), wanted.encode()):
            return _problem(401, "a bearer token is needed, operators_token of the settings")
        try:
            return await handler(request)
        except web.HTTPException as error:
            return _problem(error.status, error.reason)
        except _BadCallError as error:
            return _problem(400, *error.problems)
        except (ValueError, TypeError) as error:
            return _problem(400, f"malformed: {error}")
        except repository_module.RepositoryError as error:
            return _problem(503, f"the store does not answer ({error}); try again")

    async def _list(self, request: web.Request) -> web.Response:
        document = self._config.rules
        rules = [model.rule_to_dict(rule) for rule in document.rules]
        return web.json_response({"revision": document.revision, "rules": rules})

    async def _check(self, request: web.Request) -> web.Response:
        text = _text_of(await _body(request), "text")
        rules = _rules_of(text)
        document = [rule for rule in self._config.rules.rules if rule.name not in _names(rules)]
        self._check_order([*document, *rules], text)
        return web.json_response({"valid": True, "rules": [rule.name for rule in rules]})

    def _check_order(self, rules: list[model.Rule], text: str) -> None:
        try:
            parser_module.check_reachability(
                rules, self._config.catalog, parser_module.line_numbers(text)
            )
        except parser_module.RulesError as error:
            raise _BadCallError(str(error).splitlines()) from error

    async def _edit(self, request: web.Request) -> web.Response:
        plain = await _body(request)
        change = _change(plain)
        outcome = await self._repository.edit(change)
        self._counters.add(f"rules.edit.{type(outcome).__name__.lower()}")
        events.emit("rules.edit", edit=change.edit, outcome=type(outcome).__name__.lower())
        match outcome:
            case repository_module.Stored(revision=revision):
                return await self._accepted(configuration.RULES, revision, edit=change.edit)
            case edits.Conflict():
                who = f"{outcome.operator} did {outcome.operation} {outcome.rule} in revision"
                return web.json_response(
                    {
                        "outcome": "conflict",
                        "edit": change.edit,
                        "problems": [f"{who} {outcome.revision}; look again, then repeat"],
                        "with": attrs.asdict(_ConflictView(outcome.operator, outcome.rule)),
                    },
                    status=409,
                )
            case repository_module.Rejected(problems=problems):
                lines = parser_module.line_numbers(str(plain.get("text", "")))
                problems = [_with_line(problem, lines) for problem in problems]
                return web.json_response(
                    {"outcome": "rejected", "edit": change.edit, "problems": problems}, status=422
                )
            case repository_module.Unknown(reason=reason):
                problem = f"the store did not answer ({reason}): it may be stored or not; repeat"
                return web.json_response(
                    {
                        "outcome": "unknown",
                        "edit": change.edit,
                        "problems": [f"{problem} with --edit {change.edit}, which is safe"],
                    },
                    status=503,
                )

    async def _accepted(self, document: str, revision: int, **fields: typing.Any) -> web.Response:
        """
        Answer a stored document: accepted once in force everywhere, else who is waited for.

        This instance counts like any other: when the store fails between the write and the next
        read, it still answers callers by the older revision.

        :param fields: what the answer says besides
        """
        await self._distribution.refresh()
        waiting = await self._distribution.distribute({document})
        held = self._config.freshness.held
        if (held.rules if document == configuration.RULES else held.catalog) < revision:
            waiting = [*waiting, self._settings.instance.name]
        return web.json_response(
            {
                "outcome": "stored" if waiting else "accepted",
                "revision": revision,
                "waiting_for": waiting,
            }
            | fields,
            status=202 if waiting else 200,
        )

    async def _confirm(self, request: web.Request) -> web.Response:
        """Ask again whether what is stored is in force everywhere."""
        if not await self._distribution.refresh():
            raise repository_module.RepositoryError("unreachable")
        return await self._accepted(configuration.RULES, self._config.rules.revision, edit="")

    async def _explain(self, request: web.Request) -> web.Response:
        plain = await _body(request)
        wanted = model.Request(
            service=str(plain.get("service", "")),
            caller=str(plain.get("caller", "")),
            data_centre=str(plain.get("data_centre", "")),
            priority=int(plain.get("priority", model.DEFAULT_PRIORITY)),
            headers={str(k).lower(): str(v) for k, v in dict(plain.get("headers", {})).items()},
        )
        document = self._config.rules
        steps = [
            {"rule": name, "matches": not reason, "because": reason}
            for name, reason in document.explain(wanted)
        ]
        treatment = attrs.asdict(document.match(wanted))
        return web.json_response(
            {"revision": document.revision, "steps": steps, "treatment": treatment}
        )

    async def _history(self, request: web.Request) -> web.Response:
        limit = int(request.query.get("limit", "20"))
        return web.json_response({"edits": await self._repository.history(limit)})

    async def _get_catalog(self, request: web.Request) -> web.Response:
        texts = {text.name: text for text in self._config.documents()}
        text = texts.get(configuration.CATALOG)
        revision = text.revision if text else 0
        catalog = json.loads(text.text) if text else {}
        return web.json_response({"revision": revision, "catalog": catalog})

    async def _put_catalog(self, request: web.Request) -> web.Response:
        outcome = await self._repository.put_catalog((await request.read()).decode())
        match outcome:
            case repository_module.Stored(revision=revision):
                return await self._accepted(configuration.CATALOG, revision)
            case repository_module.Rejected(problems=problems):
                return web.json_response({"outcome": "rejected", "problems": problems}, status=422)
            case _:
                return _problem(503, "the store did not answer: repeat the same call")

    async def _start_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return web.json_response({"outcome": "draining"}, status=202)

    async def _status(self, request: web.Request) -> web.Response:
        members = self._detector.members
        peers = [] if "own" in request.query else members.peers()
        answers = await asyncio.gather(*(self._ask_status(each) for each in peers))
        instances = [self.own_status(), *answers]
        return web.json_response(
            {
                "asked": self._settings.instance.name,
                "store_reachable": self._distribution.store_reachable,
                "rules_revision": self._config.rules.revision,
                "instances": instances,
                "listed_but_unreached": sorted(
                    set(self._detector.listed)
                    - {each["instance"] for each in instances if each.get("reached", True)}
                ),
            }
        )

    async def _ask_status(self, member: typing.Any) -> dict[str, typing.Any]:
        unreached = {"instance": member.instance, "state": member.state, "reached": False}
        link = self._detector.mesh.link(member.instance)
        if link is None:
            return unreached
        try:
            reply = await link.ask(
                lambda envelope: setattr(envelope, "status", None), _STATUS_TIMEOUT_S
            )
        except link_module.LinkError:
            return unreached
        return json.loads(reply.statusReply) if reply.which() == "statusReply" else unreached

    def own_status(self) -> dict[str, typing.Any]:
        """Describe this instance."""
        own = self._detector.members.own
        return {
            "instance": own.instance,
            "state": own.state,
            "ready": own.ready,
            "members": {
                name: each.state for name, each in self._detector.members.by_instance.items()
            },
            "reached": True,
            "data_centre": own.data_centre,
            "rules_revision": self._config.rules.revision,
            "catalog_revision": self._config.catalog_revision,
            "current": self._config.freshness.is_current(),
            "store_reachable": self._distribution.store_reachable,
            "reads_store": self._distribution.is_reader(),
            "services": [
                {
                    "service": name,
                    "owned": self._owner.owns(name),
                    "queued": queue.queued(),
                    "targets": [
                        {
                            "target": each.instance,
                            "in_flight": each.in_flight,
                            "limit": round(each.limit, 2),
                            "slots": each.max_limit,
                            "latency_ms": round(each.latency_ms, 2),
                            "leaving": each.leaving,
                            "ejected": bool(each.ejections),
                            "suspected": each.suspected,
                        }
                        for each in queue.replicas.values()
                    ],
                }
                for name, queue in sorted(self._owner.queues.items())
            ],
            "counters": dict(self._counters.totals),
            "timers_ms": self._counters.timers_ms(),
        }

    def on_status(self, request: server_module.Request) -> None:
        """Describe this instance to a peer."""
        text = json.dumps(self.own_status())
        request.reply(lambda envelope: setattr(envelope, "statusReply", text))


@attrs.frozen
class _ConflictView:
    operator: str
    rule: str


class _BadCallError(Exception):
    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def _problem(status: int, *problems: str) -> web.Response:
    return web.json_response({"outcome": "rejected", "problems": list(problems)}, status=status)


def _with_line(problem: str, lines: dict[str, int]) -> str:
    """Name the line of the rule that a problem begins with."""
    line = lines.get(problem.partition(":")[0])
    return f"line {line}: {problem}" if line else problem


async def _body(request: web.Request) -> dict[str, typing.Any]:
    try:
        plain = await request.json()
    except ValueError as error:
        raise _BadCallError([f"not JSON: {error}"]) from error
    if not isinstance(plain, dict):
        raise _BadCallError(["must be an object"])
    return plain


def _text_of(plain: dict[str, typing.Any], key: str, default: str = "") -> str:
    value = plain.get(key, default)
    if not isinstance(value, str):
        raise _BadCallError([f"{key} must be a text"])
    return value


def _rules_of(text: str) -> list[model.Rule]:
    try:
        return parser_module.parse(text)
    except parser_module.RulesError as error:
        raise _BadCallError(str(error).splitlines()) from error


def _names(rules: list[model.Rule]) -> set[str]:
    return {rule.name for rule in rules}


def _change(plain: dict[str, typing.Any]) -> edits.Change:
    """Turn a call into an edit, checked as far as it can be without the store."""
    operation = _text_of(plain, "operation")
    if operation not in (edits.ADD, edits.MOVE, edits.REPLACE, edits.RETIRE):
        raise _BadCallError([f"operation must be add, move, replace or retire, not {operation!r}"])
    edit = _text_of(plain, "edit") or secrets.token_hex(8)
    if not _EDIT_ID.match(edit):
        raise _BadCallError(["edit must be 1 to 64 letters, digits, '.', '_' or '-'"])
    base = plain.get("base", 0)
    if not isinstance(base, int):
        raise _BadCallError(["base must be a revision number"])
    rule = None
    name = _text_of(plain, "name")
    if operation in (edits.ADD, edits.REPLACE):
        rules = _rules_of(_text_of(plain, "text"))
        if len(rules) != 1:
            raise _BadCallError([f"text must hold one rule, not {len(rules)}"])
        rule = rules[0]
        if name and name != rule.name:
            raise _BadCallError([f"the text holds rule {rule.name}, not {name}"])
        name = rule.name
    return edits.Change(
        edit=edit,
        operator=_text_of(plain, "operator", "unnamed"),
        operation=operation,
        name=name,
        base=base,
        rule=rule,
        before=_text_of(plain, "before"),
        after=_text_of(plain, "after"),
    )
