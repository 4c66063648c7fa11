"""The operators' HTTP interface to rules, catalogue, status and drain, protected by a token."""

from __future__ import annotations

import asyncio
import hmac
import json
import typing
from collections import abc

import attrs
from aiohttp import web

from turmericlug.config import settings as settings_module
from turmericlug.decoding import fields
from turmericlug.membership import detector as detector_module
from turmericlug.operators import reading
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
_MAX_PROBLEM_LENGTH = 200

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]


class OperatorsHttp:
    """Request handlers of the operators' port."""

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
        """Build the web application with its routes."""
        application = web.Application(
            client_max_size=reading.MAX_BODY_BYTES, middlewares=[self._authenticate]
        )
        router = application.router
        router.add_get("/v1/rules", self._list_rules)
        router.add_post("/v1/rules/check", self._check_rules)
        router.add_post("/v1/rules/edit", self._edit_rules)
        router.add_post("/v1/rules/confirm", self._confirm_rules)
        router.add_post("/v1/rules/explain", self._explain_rules)
        router.add_get("/v1/rules/history", self._list_edits)
        router.add_get("/v1/catalog", self._get_catalog)
        router.add_put("/v1/catalog", self._put_catalog)
        router.add_get("/v1/status", self._get_status)
        router.add_post("/v1/drain", self._start_drain)
        return application

    @web.middleware
    async def _authenticate(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        received = request.headers.get("Authorization", "")
        expected = f"Bearer {self._settings.instance.operators_token}"
        if not hmac.compare_digest(received.encode(), expected.encode()):
            return _error_response(
                401, "missing or wrong bearer token: send operators_token of the settings"
            )
        try:
            return await handler(request)
        except web.HTTPException as error:
            return _error_response(error.status, error.reason)
        except reading.BadRequestError as error:
            return _error_response(400, *error.problems)
        except fields.FieldError as error:
            return _error_response(400, f"{error.field}: {error}")
        except (ValueError, TypeError) as error:
            return _error_response(400, f"malformed: {error}")
        except repository_module.UnreadableError as error:
            return _error_response(503, f"the store can't be read: {error}")
        except repository_module.RepositoryError as error:
            return _error_response(503, f"the store does not answer ({error}); try again")

    async def _list_rules(self, request: web.Request) -> web.Response:
        rules_document = self._config.rules
        rules = [model.rule_to_dict(rule) for rule in rules_document.rules]
        return web.json_response({"revision": rules_document.revision, "rules": rules})

    async def _check_rules(self, request: web.Request) -> web.Response:
        text = reading.read_string(await reading.read_json_object(request), "text")
        rules = reading.parse_rules(text)
        unchanged_rules = [
            rule for rule in self._config.rules.rules if rule.name not in reading.rule_names(rules)
        ]
        self._check_reachability([*unchanged_rules, *rules], text)
        return web.json_response({"valid": True, "rules": [rule.name for rule in rules]})

    def _check_reachability(self, rules: list[model.Rule], text: str) -> None:
        try:
            parser_module.check_reachability(
                rules, self._config.catalog, parser_module.line_numbers(text)
            )
        except parser_module.RulesError as error:
            raise reading.BadRequestError(str(error).splitlines()) from error

    async def _edit_rules(self, request: web.Request) -> web.Response:
        body = await reading.read_json_object(request)
        change = reading.read_change(body)
        outcome = await self._repository.edit(change)
        self._counters.add(f"rules.edit.{type(outcome).__name__.lower()}")
        events.emit("rules.edit", edit=change.edit, outcome=type(outcome).__name__.lower())
        match outcome:
            case repository_module.Stored(revision=revision):
                return await self._stored_response(configuration.RULES, revision, edit=change.edit)
            case edits.Conflict():
                conflicting_edit = (
                    f"{outcome.operator} did {outcome.operation} {outcome.rule} in revision"
                )
                return web.json_response(
                    {
                        "outcome": "conflict",
                        "edit": change.edit,
                        "problems": [
                            f"{conflicting_edit} {outcome.revision}; review it, then repeat"
                        ],
                        "with": attrs.asdict(_ConflictView(outcome.operator, outcome.rule)),
                    },
                    status=409,
                )
            case repository_module.Rejected(problems=problems):
                line_numbers = parser_module.line_numbers(str(body.get("text", "")))
                problems = [_add_line_number(problem, line_numbers) for problem in problems]
                return web.json_response(
                    {"outcome": "rejected", "edit": change.edit, "problems": problems}, status=422
                )
            case repository_module.Unknown(reason=reason):
                problem = f"the store did not answer ({reason}): the edit may be stored; repeat it"
                return web.json_response(
                    {
                        "outcome": "unknown",
                        "edit": change.edit,
                        "problems": [f"{problem} with --edit {change.edit}, which is safe"],
                    },
                    status=503,
                )

    async def _stored_response(
        self, document: str, revision: int, **fields: typing.Any
    ) -> web.Response:
        """
        Report a stored document as accepted, or name the instances where it is not yet in force.

        This instance can be among them: if the store fails between the write and the next read, it
        still answers callers by the older revision.

        :param document: name of the document
        :param fields: additional fields of the response
        """
        await self._distribution.refresh()
        waiting_for = await self._distribution.distribute({document})
        in_force = self._config.freshness.in_force
        if (in_force.rules if document == configuration.RULES else in_force.catalog) < revision:
            waiting_for = [*waiting_for, self._settings.instance.name]
        return web.json_response(
            {
                "outcome": "stored" if waiting_for else "accepted",
                "revision": revision,
                "waiting_for": waiting_for,
            }
            | fields,
            status=202 if waiting_for else 200,
        )

    async def _confirm_rules(self, request: web.Request) -> web.Response:
        """Check again whether the stored rules are in force everywhere."""
        if not await self._distribution.refresh():
            raise repository_module.RepositoryError("unreachable")
        return await self._stored_response(
            configuration.RULES, self._config.rules.revision, edit=""
        )

    async def _explain_rules(self, request: web.Request) -> web.Response:
        body = await reading.read_json_object(request)
        rule_request = reading.read_rule_request(body)
        rules_document = self._config.rules
        steps = [
            {"rule": rule, "matches": not mismatch, "because": mismatch}
            for rule, mismatch in rules_document.explain(rule_request)
        ]
        treatment = attrs.asdict(rules_document.match(rule_request))
        return web.json_response(
            {"revision": rules_document.revision, "steps": steps, "treatment": treatment}
        )

    async def _list_edits(self, request: web.Request) -> web.Response:
        limit = reading.read_limit(request.query.get("limit", "20"))
        return web.json_response({"edits": await self._repository.history(limit)})

    async def _get_catalog(self, request: web.Request) -> web.Response:
        documents = {document.name: document for document in self._config.documents()}
        document = documents.get(configuration.CATALOG)
        revision = document.revision if document else 0
        catalog = json.loads(document.text) if document else {}
        return web.json_response({"revision": revision, "catalog": catalog})

    async def _put_catalog(self, request: web.Request) -> web.Response:
        outcome = await self._repository.put_catalog((await request.read()).decode())
        match outcome:
            case repository_module.Stored(revision=revision):
                return await self._stored_response(configuration.CATALOG, revision)
            case repository_module.Rejected(problems=problems):
                return web.json_response({"outcome": "rejected", "problems": problems}, status=422)
            case _:
                return _error_response(503, "the store did not answer: repeat the same request")

    async def _start_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return web.json_response({"outcome": "draining"}, status=202)

    async def _get_status(self, request: web.Request) -> web.Response:
        members = self._detector.members
        peers = [] if "own" in request.query else members.peers()
        peer_statuses = await asyncio.gather(*(self._fetch_status(peer) for peer in peers))
        instances = [self.own_status(), *peer_statuses]
        return web.json_response(
            {
                "asked": self._settings.instance.name,
                "store_reachable": self._distribution.store_reachable,
                "rules_revision": self._config.rules.revision,
                "instances": instances,
                "listed_but_unreached": sorted(
                    set(self._detector.listed)
                    - {
                        instance["instance"]
                        for instance in instances
                        if instance.get("reached", True)
                    }
                ),
            }
        )

    async def _fetch_status(self, peer: typing.Any) -> dict[str, typing.Any]:
        not_reached = {"instance": peer.instance, "state": peer.state, "reached": False}
        link = self._detector.mesh.link(peer.instance)
        if link is None:
            return not_reached
        try:
            reply = await link.ask(
                lambda envelope: setattr(envelope, "status", None), _STATUS_TIMEOUT_S
            )
        except link_module.LinkError:
            return not_reached
        if reply.which() != "statusReply":
            return not_reached
        try:
            return reading.read_status(reply.statusReply)
        except ValueError as error:
            # The status of the others is shown all the same.
            self._counters.add("peer.unreadable_status")
            return not_reached | {"problem": str(error)[:_MAX_PROBLEM_LENGTH]}

    def own_status(self) -> dict[str, typing.Any]:
        """Return the status of this instance."""
        own = self._detector.members.own
        return {
            "instance": own.instance,
            "state": own.state,
            "ready": own.ready,
            "members": {
                name: member.state for name, member in self._detector.members.by_instance.items()
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
                            "target": target.instance,
                            "in_flight": target.in_flight,
                            "limit": round(target.limit, 2),
                            "slots": target.max_limit,
                            "latency_ms": round(target.latency_ms, 2),
                            "leaving": target.draining_reason,
                            "ejected": bool(target.consecutive_ejections),
                            "suspected": target.suspected,
                        }
                        for target in queue.replicas.values()
                    ],
                }
                for name, queue in sorted(self._owner.queues.items())
            ],
            "counters": dict(self._counters.totals),
            "timers_ms": self._counters.timers_ms(),
        }

    def on_status(self, request: server_module.Request) -> None:
        """Send the status of this instance to a peer."""
        text = json.dumps(self.own_status())
        request.reply(lambda envelope: setattr(envelope, "statusReply", text))


@attrs.frozen
class _ConflictView:
    operator: str
    rule: str


def _error_response(status: int, *problems: str) -> web.Response:
    return web.json_response({"outcome": "rejected", "problems": list(problems)}, status=status)


def _add_line_number(problem: str, line_numbers: dict[str, int]) -> str:
    """Prefix a problem with its rule's line number; a problem begins with the rule's name."""
    line_number = line_numbers.get(problem.partition(":")[0])
    return f"line {line_number}: {problem}" if line_number else problem
