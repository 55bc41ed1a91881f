"""Parsing of CSV text to a sheet or a list of defects."""

import csv
import io
import typing

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.sheet._cells import COLUMN_PARSERS, InvalidCell, quote_cell
from chivescale.sheet._model import COLUMNS, Defect, Sheet, make_sheet

MAX_SHEET_BYTES = 4 << 20
MAX_SHEET_ROWS = 50_000
MAX_DEFECTS = 50

Row = tuple[int, list[str]]


def parse_sheet(text: str | bytes) -> Sheet | Failure:
    """Parse a sheet; a single defect rejects the whole sheet.

    Parameters
    ----------
    text : str or bytes
        CSV with a header row; bytes are UTF-8. A byte order mark is
        accepted because spreadsheet programs write one.

    Returns
    -------
    sheet or Failure
        ``SHEET_INVALID`` with row, column and reason of up to
        `MAX_DEFECTS` defects.
    """
    sheet, defects = check_sheet(text)
    if sheet is not None:
        return sheet
    parts = [str(item) for item in defects[:MAX_DEFECTS]]
    if len(defects) > MAX_DEFECTS:
        parts.append(f"more than {MAX_DEFECTS} defects")
    return Failure(ErrorKind.SHEET_INVALID, "; ".join(parts))


def check_sheet(text: str | bytes) -> tuple[Sheet | None, list[Defect]]:
    """Parse a sheet and return it, or its defects sorted by row.

    Parsing stops once there are more than `MAX_DEFECTS` defects.
    """
    parser = _SheetParser()
    content = parser.decode_text(text)
    rows = [] if parser.defects else parser.split_rows(content)
    if rows and not parser.defects:
        parser.parse_rows(rows)
    if parser.defects:
        return None, sorted(parser.defects, key=lambda item: item.row)
    sheet = make_sheet(parser.services.values(), parser.build_workspaces())
    return sheet, []


class _SheetParser:
    """Collects the records and defects of a sheet."""

    def __init__(self):
        self.defects: list[Defect] = []
        self.services: dict[str, ServiceRecord] = {}
        self.workspaces: dict[str, WorkspaceRecord] = {}
        self.bindings: dict[tuple[str, str], ServiceBinding] = {}
        self.first_row: dict[tuple, int] = {}

    def add_defect(self, row: int, column: str, reason: str) -> None:
        self.defects.append(Defect(row, column, reason))

    def decode_text(self, text: str | bytes) -> str:
        """Check the size and encoding and return the decoded text."""
        size = len(text)
        if isinstance(text, str):
            size = len(text.encode("utf-8", "surrogatepass"))
        if size > MAX_SHEET_BYTES:
            self.add_defect(1, "", f"{size} bytes, at most {MAX_SHEET_BYTES}")
            return ""
        if isinstance(text, bytes):
            try:
                text = text.decode("utf-8")
            except UnicodeDecodeError as err:
                row = text[: err.start].count(b"\n") + 1
                self.add_defect(row, "", f"byte {err.start} is not UTF-8")
                return ""
        text = text.removeprefix("\ufeff")
        offset = text.find("\0")
        if offset >= 0:
            row = text[:offset].count("\n") + 1
            self.add_defect(row, "", "NUL character")
        return text

    def split_rows(self, text: str) -> list[Row]:
        """Split the text into rows, skipping empty ones."""
        reader = csv.reader(io.StringIO(text, newline=""), strict=True)
        rows: list[Row] = []
        start = 1
        try:
            for cells in reader:
                if any(cells):
                    rows.append((start, cells))
                start = reader.line_num + 1
                if len(rows) > MAX_SHEET_ROWS + 1:
                    reason = f"more than {MAX_SHEET_ROWS} rows"
                    self.add_defect(rows[-1][0], "", reason)
                    return []
        except csv.Error as err:
            self.add_defect(start, "", f"bad quoting: {err}")
            return []
        if len(rows) < 2:
            self.add_defect(1, "", "empty sheet: no rows below the header")
        return rows

    def parse_rows(self, rows: list[Row]) -> None:
        """Read every row below the header, then check references."""
        header_row, header = rows[0]
        self.check_header(header_row, header)
        if self.defects:
            return
        for row, cells in rows[1:]:
            self.parse_row(row, header, cells)
            if len(self.defects) > MAX_DEFECTS:
                return
        self.check_references()

    def check_header(self, row: int, header: list[str]) -> None:
        for index, column in enumerate(header):
            if column not in COLUMNS:
                self.add_defect(
                    row, "", f"unknown column {quote_cell(column)}"
                )
            elif column in header[:index]:
                self.add_defect(row, column, "column appears twice")
            if len(self.defects) > MAX_DEFECTS:
                return
        for column in COLUMNS:
            if column not in header:
                self.add_defect(row, column, "column is missing")

    def parse_row(self, row: int, header: list[str], cells: list[str]) -> None:
        if len(cells) != len(header):
            reason = f"{len(cells)} cells, the header has {len(header)}"
            self.add_defect(row, "", reason)
            return
        named = dict(zip(header, cells, strict=True))
        kind = named.pop("kind")
        if kind not in COLUMN_PARSERS:
            reason = f"{quote_cell(kind)} is not service, workspace or binding"
            self.add_defect(row, "kind", reason)
            return
        values = self.parse_cells(row, kind, named)
        if values is not None:
            self.add_record(row, kind, values)

    def parse_cells(
        self, row: int, kind: str, named: dict[str, str]
    ) -> dict[str, typing.Any] | None:
        values = {}
        before = len(self.defects)
        for column, text in named.items():
            parse = COLUMN_PARSERS[kind].get(column)
            if parse is not None:
                value = parse(text)
                if isinstance(value, InvalidCell):
                    self.add_defect(row, column, value.reason)
                values[column] = value
            elif text:
                reason = f"must be empty in a {kind} row"
                self.add_defect(row, column, reason)
        return values if len(self.defects) == before else None

    def add_record(self, row: int, kind: str, values: dict) -> None:
        name = values["name"]
        key = (kind, name, values.get("service", ""))
        if key in self.first_row:
            reason = f"same {kind} as in row {self.first_row[key]}"
            self.add_defect(row, "name", reason)
            return
        self.first_row[key] = row
        if kind == "service":
            self.services[name] = ServiceRecord(name, values["group_size"])
        elif kind == "workspace":
            self.workspaces[name] = WorkspaceRecord(**values)
        else:
            del values["name"]
            binding = ServiceBinding(**values)
            self.bindings[(name, binding.service)] = binding

    def check_references(self) -> None:
        """Check that bindings refer to workspaces and services of the sheet.

        Skipped if there are other defects: a defective row would be reported
        again by every binding that refers to it.
        """
        if self.defects:
            return
        for name, service in self.bindings:
            row = self.first_row[("binding", name, service)]
            if name not in self.workspaces:
                self.add_defect(
                    row, "name", f"unknown workspace {quote_cell(name)}"
                )
            if service not in self.services:
                reason = f"unknown service {quote_cell(service)}"
                self.add_defect(row, "service", reason)
            if len(self.defects) > MAX_DEFECTS:
                return

    def build_workspaces(self) -> list[WorkspaceRecord]:
        bound: dict[str, list[ServiceBinding]] = {}
        for (name, _), binding in self.bindings.items():
            bound.setdefault(name, []).append(binding)
        return [
            WorkspaceRecord(
                name=item.name,
                secret_hash=item.secret_hash,
                bindings=tuple(bound.get(name, ())),
                max_connections=item.max_connections,
                max_concurrent=item.max_concurrent,
                max_rate=item.max_rate,
            )
            for name, item in self.workspaces.items()
        ]
