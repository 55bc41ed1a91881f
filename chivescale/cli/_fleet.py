"""Summary of a fleet from the metrics of its processes."""

import argparse
import asyncio
import collections
import pathlib
import statistics

import aiohttp
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from chivescale.cli._report import (
    ExitCode,
    Report,
    format_table,
    report_failure,
)
from chivescale.errors import ErrorKind, Failure, is_failure

DEFAULT_PATH = "/metrics"
# Addresses fetched at the same time.
MAX_CONCURRENT = 32
# A process is an outlier if its counter exceeds this multiple of the median of
# all processes, and the median itself by this many events.
OUTLIER_FACTOR = 4.0
MIN_OUTLIER_EXCESS = 20.0

Series = tuple[str, str]


class SeriesSummary(msgspec.Struct):
    """One counter over all processes.

    Attributes
    ----------
    name, label : str
        Name of the counter and its label.
    total, median : float
        Sum and median over the processes that were read.
    highest : float
        Highest value.
    at : str
        Address of the process with the highest value.
    outliers : list of str
        Addresses of the processes that count far more than the median.
    """

    name: str
    label: str
    total: float
    median: float
    highest: float
    at: str
    outliers: list[str]


def read_addresses(path: str) -> list[str] | Failure:
    """Read ``ip:port`` or ``ip:port/path`` lines; ``#`` begins a comment."""
    try:
        lines = pathlib.Path(path).read_text().splitlines()
    except (OSError, UnicodeDecodeError) as err:
        reason = getattr(err, "strerror", None) or str(err)
        return Failure(ErrorKind.BAD_REQUEST, f"{path}: {reason}")
    found = []
    for number, line in enumerate(lines, 1):
        address = line.partition("#")[0].strip()
        host, _, port = address.partition("/")[0].rpartition(":")
        if address and not (host and port.isdigit() and " " not in address):
            reason = f"{path}: line {number}: {address} is not ip:port/path"
            return Failure(ErrorKind.BAD_REQUEST, reason)
        if address:
            found.append(address)
    if not found:
        return Failure(ErrorKind.BAD_REQUEST, f"{path}: names no address")
    return found


def parse_page(text: str) -> dict[Series, float] | Failure:
    """Return the counters of a metrics page by name and label.

    Histograms appear as the number of their observations.
    """
    values: dict[Series, float] = {}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name.endswith(("_total", "_count")):
                    label = ",".join(
                        value for _, value in sorted(sample.labels.items())
                    )
                    values[sample.name, label] = sample.value
    except ValueError as err:
        return Failure(ErrorKind.MESSAGE_INVALID, f"unreadable page: {err}")
    return values


def summarize(
    pages: dict[str, dict[Series, float]],
) -> list[SeriesSummary]:
    """Summarize the counters of the processes that were read."""
    by_series = collections.defaultdict(dict)
    for address, values in pages.items():
        for series, value in values.items():
            by_series[series][address] = value
    summaries = []
    for (name, label), values in sorted(by_series.items()):
        counts = [values.get(address, 0.0) for address in pages]
        median = statistics.median(counts)
        limit = max(OUTLIER_FACTOR * median, median + MIN_OUTLIER_EXCESS)
        at = max(values, key=values.__getitem__)
        outliers = sorted(a for a, value in values.items() if value > limit)
        summaries.append(
            SeriesSummary(
                name, label, sum(counts), median, values[at], at, outliers
            )
        )
    return summaries


async def show_fleet(options: argparse.Namespace) -> Report:
    """Read all metrics pages and report totals and outliers."""
    addresses = read_addresses(options.file)
    if is_failure(addresses):
        return report_failure(addresses, reads_only=True)
    limit = asyncio.Semaphore(MAX_CONCURRENT)
    timeout = aiohttp.ClientTimeout(total=options.timeout)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(
            *(_fetch(session, limit, address) for address in addresses)
        )
    return make_report(dict(zip(addresses, answers, strict=True)))


async def _fetch(session, limit, address: str) -> dict | Failure:
    path = "" if "/" in address else DEFAULT_PATH
    try:
        async with limit, session.get(f"http://{address}{path}") as answer:
            if answer.status != 200:
                reason = f"status {answer.status}"
                return Failure(ErrorKind.UNREACHABLE, reason)
            page = await answer.read()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as err:
        return Failure(ErrorKind.UNREACHABLE, str(err) or repr(err))
    return parse_page(page.decode(errors="replace"))


def make_report(answers: dict[str, dict | Failure]) -> Report:
    """Create the report on the pages of all processes."""
    failed = {a: f.reason for a, f in answers.items() if is_failure(f)}
    pages = {a: page for a, page in answers.items() if not is_failure(page)}
    series = summarize(pages)
    report = Report(
        data={
            "processes": len(answers),
            "unreachable": failed,
            "series": series,
        },
        lines=[
            f"{len(pages)} of {len(answers)} processes answered",
            *format_table(
                ("counter", "label", "total", "median", "highest", "at"),
                (
                    (
                        s.name.removeprefix("chivescale_"),
                        s.label,
                        f"{s.total:g}",
                        f"{s.median:g}",
                        f"{s.highest:g}",
                        s.at,
                    )
                    for s in series
                ),
            ),
        ],
    )
    for summary in series:
        if summary.outliers:
            report.lines.append(
                f"outliers: {summary.name} {summary.label}: "
                + ", ".join(summary.outliers)
            )
    report.errors = [f"{a}: {reason}" for a, reason in failed.items()]
    if failed:
        report.code = ExitCode.REFUSED if pages else ExitCode.UNREACHABLE
    return report
