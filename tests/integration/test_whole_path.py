"""End-to-end queries through caller, coordinator, owners and targets, in separate processes."""

from __future__ import annotations

from integration import conftest


def test_query_and_rule(run_scenario):
    async def scenario(fleet):
        status, answer = await fleet.query("e1", service="devis", body={"mark": "1"})
        assert status == 200
        assert answer["outcome"] == "complete"
        assert answer["coverage"] == {"answered": 4, "total": 4, "missing": []}
        conftest.check_answers(fleet, [("1", status, answer)])
        status, edit = await fleet.call_operators_api(
            "e2",
            "POST",
            "/v1/rules/edit",
            {"operation": "add", "text": "[rule shut]\nwhen_service = devis\nthen_refuse = shut\n"},
        )
        assert (status, edit["outcome"]) == (200, "accepted")
        status, answer = await fleet.query("e3", service="devis", body={"mark": "2"})
        assert (status, answer["reason"]) == (503, "rule_shut")
        assert not conftest.runs(fleet, '"2"')
        fields = {"service": "billing", "body": {"mark": "3"}, "deadline_ms": 2}
        status, answer = await fleet.query("e1", **fields)
        assert (status, answer["outcome"], answer["reason"]) == (503, "refused", "no_time")
        assert not conftest.runs(fleet, '"3"')

    run_scenario(scenario)
