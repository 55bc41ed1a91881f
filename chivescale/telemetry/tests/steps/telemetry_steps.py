"""Steps for logs and metrics."""

import asyncio
import io
import logging
import re
import subprocess
import sys

import aiohttp
import hypothesis
from absl import logging as absl_logging
from behave import given, then, when
from hypothesis import strategies

from chivescale.telemetry import Metrics, log_event, setup_logging

LINE = re.compile(
    r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=[a-z]+ "
    r"process=\"test process\" event=[a-z_]+.*\n"
)


def capture_log(write):
    """Return the log output of a function."""
    setup_logging("test process", "info")
    handler = absl_logging.get_absl_handler().python_handler
    previous, handler.stream = handler.stream, io.StringIO()
    try:
        write()
        return handler.stream.getvalue()
    finally:
        handler.stream = previous


@when("an event with the value {value} is logged")
def log_value(context, value):
    value = value.replace("\\n", "\n").replace("\\x1b", "\x1b")
    if value == "(nothing)":
        value = ""
    elif value.startswith("0."):
        value = float(value)
    context.line = capture_log(lambda: log_event("test", value=value))


@then('the line ends with "{text}"')
def line_ends(context, text):
    assert context.line.endswith(f" event=test {text}\n"), context.line


@then("lines of absl and of the logging module have time, level and process")
def both_modules(context):
    def write():
        log_event("test", "warning")
        logging.getLogger("other").error("two\nlines")

    lines = capture_log(write).splitlines(keepends=True)
    assert len(lines) == 2, lines
    assert all(LINE.fullmatch(line) for line in lines), lines
    assert "level=warning" in lines[0]
    assert 'logger=other message="two\\nlines"' in lines[1]


@then("a line below the level is not written")
def below_level(context):
    def write():
        log_event("test", "debug")
        logging.getLogger("other").debug("text")

    assert capture_log(write) == ""


@then("a traceback stays in one line")
def traceback_line(context):
    def write():
        try:
            raise ValueError("some\nreason")
        except ValueError:
            logging.getLogger("other").exception("failed")

    line = capture_log(write)
    assert LINE.fullmatch(line), line
    assert "ValueError" in line


@then("any logged text gives exactly one line")
def any_text(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=200, database=None
    )
    @hypothesis.given(strategies.text(max_size=30))
    def check(text):
        line = capture_log(lambda: log_event("test", value=text))
        assert len(line.splitlines()) == 1, line
        assert LINE.fullmatch(line), line

    check()


@given("metrics with a limit of {count:d} workspace labels")
def bounded_metrics(context, count):
    context.metrics = Metrics("127.0.0.1:0", max_workspaces=count)


@given("metrics without an address")
def no_address(context):
    context.metrics = Metrics()


@when("{workspaces:d} workspaces run {count:d} statements each")
def run_statements(context, workspaces, count):
    for number in range(workspaces * count):
        name = f"w{number % workspaces}"
        context.metrics.observe_statement(name, "write", 0.003)


@then('{kept:d} workspaces have {count:d} statements and "other" has {rest:d}')
def check_limited_labels(context, kept, count, rest):
    pattern = (
        r'chivescale_statement_seconds_count\{class="write",'
        r'workspace="(\w+)"\} ([\d.]+)'
    )
    found = dict(re.findall(pattern, context.metrics.render().decode()))
    expected = {f"w{number}": f"{count}.0" for number in range(kept)}
    assert found == expected | {"other": f"{rest}.0"}, found


def use_every_method(metrics):
    metrics.observe_statement("w", "read_replica", 0.1)
    metrics.observe_queue(0.1)
    metrics.observe_pool_wait("e-1", 0.1)
    metrics.observe_gap("promote", 0.1)
    metrics.count_read("replica")
    metrics.count_failure("timeout")
    metrics.count_shed("overloaded")
    metrics.count_retry()
    metrics.count_control("in", 120)
    metrics.count_control("in", 80)
    metrics.add_gauge("pool_held", "endpoint", lambda: {"e-1": 3})
    metrics.add_gauge("index", "", lambda: {"": 7})


@then("the exported text contains the metric of every method")
def all_exported(context):
    use_every_method(context.metrics)
    lines = context.metrics.render().decode().splitlines()
    for expected in (
        'chivescale_statement_seconds_count{class="read_replica",'
        'workspace="w"} 1.0',
        "chivescale_queue_seconds_count 1.0",
        'chivescale_pool_wait_seconds_count{endpoint="e-1"} 1.0',
        'chivescale_failover_seconds_count{phase="promote"} 1.0',
        'chivescale_reads_total{role="replica"} 1.0',
        'chivescale_failures_total{kind="timeout"} 1.0',
        'chivescale_shed_total{kind="overloaded"} 1.0',
        "chivescale_retries_total 1.0",
        'chivescale_acquired_total{endpoint="e-1"} 1.0',
        'chivescale_control_bytes_total{direction="in"} 200.0',
        'chivescale_control_messages_total{direction="in"} 2.0',
        'chivescale_pool_held{endpoint="e-1"} 3.0',
        "chivescale_index 7.0",
    ):
        assert expected in lines, expected


@then("every method works and the counters are kept")
def counters_kept(context):
    use_every_method(context.metrics)
    text = context.metrics.render()
    assert text == b"", text
    assert context.metrics.counts["control_bytes"] == {"in": 200}
    assert context.metrics.counts["reads"] == {"replica": 1}


@then("an HTTP request to the metrics port gives the exported text")
def http_request(context):
    async def run():
        metrics = context.metrics
        metrics.count_read("replica")
        await metrics.start()
        try:
            ip, port = metrics.runner.addresses[0][:2]
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{ip}:{port}/metrics") as answer,
            ):
                assert answer.status == 200
                assert answer.content_type == "text/plain"
                return await answer.text()
        finally:
            await metrics.stop()

    text = asyncio.run(run())
    assert 'chivescale_reads_total{role="replica"} 1.0' in text


@then("its lines go to that stream and absl is not imported")
def own_stream(context):
    program = (
        "import sys\n"
        "from chivescale.telemetry import log_event, setup_logging\n"
        "setup_logging('test process', 'info', sys.stdout)\n"
        "log_event('debugged', 'debug')\n"
        "log_event('test', value=1)\n"
        "import logging\n"
        "logging.getLogger('other').error('two')\n"
        "assert 'absl' not in sys.modules\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines(keepends=True)
    assert len(lines) == 2, lines
    assert all(LINE.fullmatch(line) for line in lines), lines
    assert "event=test value=1" in lines[0], lines
