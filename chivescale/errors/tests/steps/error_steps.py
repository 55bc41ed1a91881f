"""Steps for the table of error kinds."""

from behave import then, when

from chivescale.errors import KIND_TABLE, ErrorKind, Failure


@then("every error kind has exactly one row in the table")
def every_kind_has_a_row(context):
    assert set(KIND_TABLE) == set(ErrorKind)
    assert all(len(row.sqlstate) == 5 for row in KIND_TABLE.values())


@when("a request fails with {kind}")
def request_fails(context, kind):
    context.failure = Failure(ErrorKind(kind), "test")


@then("the failure reports may_have_run {ran} and retryable {repeat}")
def check_retry_semantics(context, ran, repeat):
    assert context.failure.may_have_run == (ran == "yes")
    assert context.failure.retryable == (repeat == "yes")


@then("no kind that may have run may be repeated")
def no_retry_after_possible_effect(context):
    rows = KIND_TABLE.items()
    wrong = [kind for kind, row in rows if row.may_have_run and row.retryable]
    assert not wrong, wrong
