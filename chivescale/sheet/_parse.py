"""CSV text to a sheet, or to the list of its defects."""

import csv
import io
import typing

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import (
    ServiceBinding,
    ServiceRecord,
    WorkspaceRecord,
)
from chivescale.sheet._cells import ROW_CELLS, BadCell, shown
from chivescale.sheet._model import COLUMNS, Defect, Sheet, make_sheet

MAX_SHEET_BYTES = 4 << 20
MAX_SHEET_ROWS = 50_000
MAX_DEFECTS = 50

Row = tuple[int, list[str]]


def parse_sheet(text: str | bytes) -> Sheet | Failure:
    """Parse a whole sheet; nothing of a defective one is used.

    Parameters
    ----------
    text : str or bytes
        CSV with a header row; bytes are UTF-8. A byte order mark is
        accepted because spreadsheet programs write one.

    Returns
    -------
    sheet or Failure
        ``SHEET_INVALID`` with row, column and reason of every defect, up
        to `MAX_DEFECTS`.
    """
    sheet, defects = check_sheet(text)
    if sheet is not None:
        return sheet
    parts = [str(item) for item in defects[:MAX_DEFECTS]]
    if len(defects) > MAX_DEFECTS:
        parts.append(f"more than {MAX_DEFECTS} defects")
    return Failure(ErrorKind.SHEET_INVALID, "; ".join(parts))


def check_sheet(text: str | bytes) -> tuple[Sheet | None, list[Defect]]:
    """Parse a sheet and return it or its defects in row order.

    The search ends soon after `MAX_DEFECTS`.
    """
    checker = _Checker()
    content = checker.read_text(text)
    rows = [] if checker.defects else checker.read_rows(content)
    if rows and not checker.defects:
        checker.read_table(rows)
    if checker.defects:
        return None, sorted(checker.defects, key=lambda item: item.row)
    sheet = make_sheet(checker.services.values(), checker.build_workspaces())
    return sheet, []


class _Checker:
    """Collects rows and defects of one sheet."""

    def __init__(self):
        self.defects: list[Defect] = []
        self.services: dict[str, ServiceRecord] = {}
        self.workspaces: dict[str, WorkspaceRecord] = {}
        self.bindings: dict[tuple[str, str], ServiceBinding] = {}
        self.first_row: dict[tuple, int] = {}

    def refuse(self, row: int, column: str, reason: str) -> None:
        self.defects.append(Defect(row, column, reason))

    def read_text(self, text: str | bytes) -> str:
        """Return decoded text of an accepted size."""
        size = len(text)
        if isinstance(text, str):
            size = len(text.encode("utf-8", "surrogatepass"))
        if size > MAX_SHEET_BYTES:
            self.refuse(1, "", f"{size} bytes, at most {MAX_SHEET_BYTES}")
            return ""
        if isinstance(text, bytes):
            try:
                text = text.decode("utf-8")
            except UnicodeDecodeError as err:
                row = text[: err.start].count(b"\n") + 1
                self.refuse(row, "", f"byte {err.start} is not UTF-8")
                return ""
        text = text.removeprefix("\ufeff")
        place = text.find("\0")
        if place >= 0:
            row = text[:place].count("\n") + 1
            self.refuse(row, "", "NUL character")
        return text

    def read_rows(self, text: str) -> list[Row]:
        """Split into rows; wholly empty ones have no meaning."""
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
                    self.refuse(rows[-1][0], "", reason)
                    return []
        except csv.Error as err:
            self.refuse(start, "", f"bad quoting: {err}")
            return []
        if len(rows) < 2:
            self.refuse(1, "", "empty sheet: no rows below the header")
        return rows

    def read_table(self, rows: list[Row]) -> None:
        """Read every row below the header, then check references."""
        header_row, header = rows[0]
        self.read_header(header_row, header)
        if self.defects:
            return
        for row, cells in rows[1:]:
            self.read_row(row, header, cells)
            if len(self.defects) > MAX_DEFECTS:
                return
        self.check_references()

    def read_header(self, row: int, header: list[str]) -> None:
        for index, column in enumerate(header):
            if column not in COLUMNS:
                self.refuse(row, "", f"unknown column {shown(column)}")
            elif column in header[:index]:
                self.refuse(row, column, "column appears twice")
            if len(self.defects) > MAX_DEFECTS:
                return
        for column in COLUMNS:
            if column not in header:
                self.refuse(row, column, "column is missing")

    def read_row(self, row: int, header: list[str], cells: list[str]) -> None:
        if len(cells) != len(header):
            reason = f"{len(cells)} cells, the header has {len(header)}"
            self.refuse(row, "", reason)
            return
        named = dict(zip(header, cells, strict=True))
        kind = named.pop("kind")
        if kind not in ROW_CELLS:
            reason = f"{shown(kind)} is no service, workspace or binding"
            self.refuse(row, "kind", reason)
            return
        values = self.read_cells(row, kind, named)
        if values is not None:
            self.add(row, kind, values)

    def read_cells(
        self, row: int, kind: str, named: dict[str, str]
    ) -> dict[str, typing.Any] | None:
        values = {}
        before = len(self.defects)
        for column, text in named.items():
            reader = ROW_CELLS[kind].get(column)
            if reader is not None:
                value = reader(text)
                if isinstance(value, BadCell):
                    self.refuse(row, column, value.reason)
                values[column] = value
            elif text:
                reason = f"must be empty in a {kind} row"
                self.refuse(row, column, reason)
        return values if len(self.defects) == before else None

    def add(self, row: int, kind: str, values: dict) -> None:
        name = values["name"]
        key = (kind, name, values.get("service", ""))
        if key in self.first_row:
            reason = f"same {kind} as in row {self.first_row[key]}"
            self.refuse(row, "name", reason)
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
        """Check that bindings name rows of this sheet.

        Names of defective rows count as known, so that one defect is not
        reported again by every binding.
        """
        if self.defects:
            return
        for name, service in self.bindings:
            row = self.first_row[("binding", name, service)]
            if name not in self.workspaces:
                self.refuse(row, "name", f"unknown workspace {shown(name)}")
            if service not in self.services:
                reason = f"unknown service {shown(service)}"
                self.refuse(row, "service", reason)
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
