"""The main function of a process of hollow gateways, which runs until the testbed ends it."""

import gc
import sys

from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.command_pipe import CommandPipe
from petrellane.testbed.hollow.group import HollowGroup
from petrellane.testbed.hollow.parameters import HollowParameters
from petrellane.testbed.metered import STANDARD_OUTPUT, Meter
from petrellane.testbed.services import MAXIMUM_LOG_LINES

THREAD_SWITCH_S = 0.0005  # shortens the waits of the participants' writer threads for each other


def run(path: str, meter: Meter) -> int:
    """Run the hollow gateways of one process.

    Args:
        path: The path of the parameter file that the testbed has written.
        meter: The meter of the process, which also reports the figures of the group.

    Returns:
        The exit code.
    """
    parameters = HollowParameters.read(path)
    sys.setswitchinterval(THREAD_SWITCH_S)
    scheduler = Scheduler()
    log = Logger(STANDARD_OUTPUT, "hollow", scheduler.now, MAXIMUM_LOG_LINES)
    log.event("empty", rss=meter.resident_bytes())
    group = HollowGroup(parameters, scheduler, log)
    gc.collect()
    gc.freeze()

    def cut_off() -> None:
        group.cut_off()
        log.event("cut_off")

    commands = {
        "begin": group.begin,
        "quiet": group.end_load,
        "cut": cut_off,
        "heal": group.reconnect,
    }
    if parameters.command_descriptor is not None:
        CommandPipe(scheduler, parameters.command_descriptor, commands)
    meter.more = group.figures
    scheduler.call_soon(group.start)
    scheduler.run()
    return 0
