"""One system for all scenarios of this directory."""

import shutil

from tools.system import Plan, System


def before_feature(context, feature):
    """Start the system that the scenarios of a feature share."""
    context.system = None
    if "system" in feature.tags:
        context.system = System(Plan(workspaces=("mill-1",)))
        try:
            context.system.start_all()
        except BaseException:
            context.system.close()
            raise


def after_feature(context, feature):
    """End its processes; the logs of a failure are kept."""
    if context.system is not None:
        context.system.close()
        if feature.status == "passed":
            shutil.rmtree(context.system.folder)
