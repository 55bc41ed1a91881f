"""Steps for the logs of a coordinator without a quorum."""

import random

from behave import given, then, when

from chivescale import agreement as ag
from chivescale.agreement._log import configuration_entry
from chivescale.coordinator._group_monitor import ReportSchedule, view_group

VOTERS = ("c0", "c1", "c2")


def member(name: str, *, formed: bool = True, voter: bool = True):
    return ag.Member(name, name, f"{name}-1" if formed else "", voter)


@when("the age of the last contact is {ages} s in turn")
def ages_pass(context, ages):
    schedule = ReportSchedule()
    reports = [schedule.step(float(age)) for age in ages.split()]
    context.reports = " ".join(filter(None, reports)) or "none"


@then("the reports are {expected}")
def reports_match(context, expected):
    assert context.reports == expected, context.reports


@given("a coordinator that is {standing} of a group of c0, c1 and c2")
def coordinator(context, standing):
    own = "c0" if standing in ("voter", "unformed") else "c3"
    initial = ag.Configuration(
        tuple(member(name, formed=False) for name in VOTERS)
    )
    members = [member(name) for name in VOTERS]
    if standing == "learner":
        members.append(member("c3", voter=False))
    entry = configuration_entry(1, 1, ag.Configuration(tuple(members)))
    recovered = ag.Recovered(
        f"{own}-1",
        ag.HardState(1),
        None,
        () if standing == "unformed" else (entry,),
    )
    context.machine = ag.Agreement(
        own,
        initial,
        recovered,
        ag.Timing(),
        random.Random(1),
        address=own,
    )


@then("the report names it as {standing}, voters {voters} and its log")
def report_matches(context, standing, voters):
    view = view_group(context.machine)
    assert view.standing == standing, view
    assert view.voters == voters, view
    assert view.learners == ("c3" if standing == "learner" else ""), view
    assert view.last_index == context.machine.log.last_index, view
