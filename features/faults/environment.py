"""Systems that the scenarios of a feature share."""

import shutil

from features.faults.support import close_callers
from tools.system import Plan, System

PLANS = {
    "service": Plan(control=3),
    "control": Plan(workspaces=("mill-1",)),
    "leaving": Plan(control=3, endpoints=5, workspaces=("mill-1",)),
    "stopping": Plan(
        control=3,
        workspaces=("mill-1",),
        overrides={"entry": {"drain_timeout_s": 6.0, "deadline_ms": 9000}},
    ),
    "relayed": Plan(control=3, entry=1, workspaces=("mill-1",)),
}


def before_feature(context, feature):
    """Start the system named by the first tag of the feature."""
    context.system = context.relays = None
    for tag in feature.tags:
        if tag not in PLANS or tag == "relayed":
            continue
        context.system = System(PLANS[tag])
        try:
            context.system.start_all()
        except BaseException:
            context.system.close()
            raise


def before_scenario(context, scenario):
    """Forget the callers of the scenario before."""
    context.callers = {}


def after_scenario(context, scenario):
    """Close what the scenario left open."""
    close_callers(context)


def after_feature(context, feature):
    """End the processes; the logs of a failure are kept."""
    if "relayed" in feature.tags or context.system is None:
        return
    context.system.close()
    if feature.status == "passed":
        shutil.rmtree(context.system.folder)
