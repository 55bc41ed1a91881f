"""Random bytes against the caller side."""

from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from chivescale.mysql.tests import support

COMMANDS = (0, 2, 3, 4, 14, 17, 22, 23, 24, 25, 26, 28, 31, 255)


@then("no random login or command stops the second connection")
def random_bytes(context):
    checked = settings(
        derandomize=True, max_examples=120, deadline=None, database=None
    )

    @checked
    @for_all(st.binary(max_size=120))
    def random_login(data):
        sock = support.raw_socket(context)
        support.read_packet(sock)
        sock.sendall(support.packet(1, data))
        _finish(context, sock)

    @checked
    @for_all(
        st.lists(
            st.tuples(st.sampled_from(COMMANDS), st.binary(max_size=60)),
            min_size=1,
            max_size=4,
        )
    )
    def random_commands(commands):
        connection = support.driver(context)
        sock = connection._sock
        packets = (
            support.packet(0, bytes((command,)) + data)
            for command, data in commands
        )
        sock.sendall(b"".join(packets))
        _finish(context, sock)

    random_login()
    random_commands()


def _finish(context, sock):
    """Close the random connection and use the other one."""
    sock.close()
    cursor = context.second.cursor()
    cursor.execute("SELECT 1")
    assert cursor.fetchall() == ((1, "x"), (-2, None))
