"""Error kinds and how each kind is reported to callers."""

import enum

import msgspec


class ErrorKind(enum.StrEnum):
    """Closed set of the reasons for which a request can fail."""

    AUTHENTICATION_FAILED = "authentication_failed"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    BAD_REQUEST = "bad_request"
    UNSUPPORTED = "unsupported"
    MESSAGE_TOO_LARGE = "message_too_large"
    CONNECTION_LIMIT = "connection_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    RATE_LIMIT = "rate_limit"
    OVERLOADED = "overloaded"
    DEADLINE_NOT_STARTED = "deadline_not_started"
    DEADLINE_READ = "deadline_read"
    SHUTTING_DOWN = "shutting_down"
    WORKSPACE_REMOVED = "workspace_removed"
    NO_PRIMARY = "no_primary"
    NO_LEASE = "no_lease"
    NO_QUORUM = "no_quorum"
    FRESHNESS_UNPROVED = "freshness_unproved"
    DID_NOT_RUN = "did_not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    READ_INTERRUPTED = "read_interrupted"
    TRANSACTION_ABORTED = "transaction_aborted"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    STATEMENT_FAILED = "statement_failed"
    NOT_LEADER = "not_leader"
    NOT_READY = "not_ready"
    STALE_SHEET = "stale_sheet"
    SHEET_CONFLICT = "sheet_conflict"
    SHEET_INVALID = "sheet_invalid"
    MESSAGE_INVALID = "message_invalid"
    SIGNATURE_INVALID = "signature_invalid"
    STALE_TERM = "stale_term"
    UNKNOWN_MEMBER = "unknown_member"
    STORAGE_FAILED = "storage_failed"
    STORAGE_CORRUPT = "storage_corrupt"
    SETTINGS_INVALID = "settings_invalid"
    ENDPOINT_READ_ONLY = "endpoint_read_only"
    ENDPOINT_BEHIND = "endpoint_behind"
    ENDPOINT_FULL = "endpoint_full"
    WRONG_ENDPOINT = "wrong_endpoint"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_STATEMENT = "unknown_statement"
    TRANSACTION_FAILED = "transaction_failed"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    CONNECTION_REFUSED = "connection_refused"
    INTERNAL = "internal"


class ErrorProperties(msgspec.Struct, frozen=True):
    """Error codes and retry semantics of one error kind.

    Attributes
    ----------
    errno : int
        MySQL error number sent in the error packet.
    sqlstate : str
        Five-character SQLSTATE sent in the error packet.
    http_status : int
        HTTP status code between the processes of the system.
    may_have_run : bool
        False only if the request is proven to have had no effect.
    retryable : bool
        Whether retrying the unchanged request is safe and can succeed.
    """

    errno: int
    sqlstate: str
    http_status: int
    may_have_run: bool
    retryable: bool


def _row(errno, sqlstate, http_status, *, may_have_run=False, retry=False):
    return ErrorProperties(errno, sqlstate, http_status, may_have_run, retry)


# Error numbers come from the MySQL server error reference. Kinds without a
# matching number use 1105 (ER_UNKNOWN_ERROR), which drivers do not retry.
KIND_TABLE: dict[ErrorKind, ErrorProperties] = {
    ErrorKind.AUTHENTICATION_FAILED: _row(1045, "28000", 401),
    ErrorKind.SERVICE_NOT_ALLOWED: _row(1044, "42000", 403),
    ErrorKind.BAD_REQUEST: _row(1231, "42000", 400),
    ErrorKind.UNSUPPORTED: _row(1235, "42000", 400),
    ErrorKind.MESSAGE_TOO_LARGE: _row(1153, "08S01", 413),
    ErrorKind.CONNECTION_LIMIT: _row(1203, "42000", 429, retry=True),
    ErrorKind.CONCURRENCY_LIMIT: _row(1226, "42000", 429, retry=True),
    ErrorKind.RATE_LIMIT: _row(1226, "42000", 429, retry=True),
    ErrorKind.OVERLOADED: _row(1040, "08004", 503, retry=True),
    ErrorKind.DEADLINE_NOT_STARTED: _row(1205, "HY000", 504, retry=True),
    ErrorKind.DEADLINE_READ: _row(3024, "HY000", 504, retry=True),
    ErrorKind.SHUTTING_DOWN: _row(1053, "08S01", 503, retry=True),
    ErrorKind.WORKSPACE_REMOVED: _row(1045, "28000", 403),
    ErrorKind.NO_PRIMARY: _row(1290, "HY000", 503, retry=True),
    ErrorKind.NO_LEASE: _row(1290, "HY000", 503, retry=True),
    ErrorKind.NO_QUORUM: _row(1290, "HY000", 503, retry=True),
    ErrorKind.FRESHNESS_UNPROVED: _row(1290, "HY000", 503, retry=True),
    ErrorKind.DID_NOT_RUN: _row(1213, "40001", 503, retry=True),
    ErrorKind.OUTCOME_UNKNOWN: _row(1105, "08007", 504, may_have_run=True),
    ErrorKind.READ_INTERRUPTED: _row(2013, "08S01", 502, retry=True),
    ErrorKind.TRANSACTION_ABORTED: _row(1213, "40001", 503, retry=True),
    ErrorKind.KEY_REUSED: _row(1062, "23000", 409),
    ErrorKind.KEY_IN_PROGRESS: _row(1205, "HY000", 409, retry=True),
    ErrorKind.STATEMENT_FAILED: _row(1105, "HY000", 502),
    ErrorKind.NOT_LEADER: _row(1290, "HY000", 421, retry=True),
    ErrorKind.NOT_READY: _row(1290, "HY000", 503, retry=True),
    ErrorKind.STALE_SHEET: _row(1105, "HY000", 409),
    ErrorKind.SHEET_CONFLICT: _row(1105, "HY000", 409),
    ErrorKind.SHEET_INVALID: _row(1105, "HY000", 422),
    ErrorKind.MESSAGE_INVALID: _row(1047, "08S01", 400),
    ErrorKind.SIGNATURE_INVALID: _row(1045, "28000", 401),
    ErrorKind.STALE_TERM: _row(1290, "HY000", 409),
    ErrorKind.UNKNOWN_MEMBER: _row(1105, "HY000", 403),
    ErrorKind.STORAGE_FAILED: _row(1105, "HY000", 500, may_have_run=True),
    ErrorKind.STORAGE_CORRUPT: _row(1105, "HY000", 500, may_have_run=True),
    ErrorKind.SETTINGS_INVALID: _row(1105, "HY000", 500),
    ErrorKind.ENDPOINT_READ_ONLY: _row(1290, "HY000", 503, retry=True),
    ErrorKind.ENDPOINT_BEHIND: _row(1290, "HY000", 503, retry=True),
    ErrorKind.ENDPOINT_FULL: _row(1040, "08004", 503, retry=True),
    ErrorKind.WRONG_ENDPOINT: _row(1049, "42000", 503, retry=True),
    ErrorKind.UNKNOWN_DATABASE: _row(1049, "42000", 404),
    ErrorKind.UNKNOWN_STATEMENT: _row(1243, "HY000", 400),
    ErrorKind.TRANSACTION_FAILED: _row(1105, "25P02", 400),
    ErrorKind.TIMEOUT: _row(1105, "08S01", 504, may_have_run=True),
    ErrorKind.UNREACHABLE: _row(2003, "08001", 503, retry=True),
    ErrorKind.CONNECTION_REFUSED: _row(2003, "08001", 503, retry=True),
    ErrorKind.INTERNAL: _row(1105, "HY000", 500, may_have_run=True),
}
