"""Steps for the summary of a fleet."""

import http.server
import threading

from behave import given, when
from cli_steps import run_command, usual_files


def serve(context, page: str) -> str:
    """Serve a page on loopback and return its address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.end_headers()
            self.wfile.write(page.encode())

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()

    def stop():
        server.shutdown()
        thread.join()
        server.server_close()

    context.add_cleanup(stop)
    return f"127.0.0.1:{server.server_address[1]}"


@given("processes that count {failed} failed statements")
def processes(context, failed):
    usual_files(context)
    lines = []
    for count in failed.split():
        if count == "-":
            lines.append("127.0.0.1:1  # not running")
            continue
        page = f'chivescale_statements_total{{label="failed"}} {count}\n'
        lines.append(serve(context, "{" if count == "bad" else page))
    (context.folder / "fleet.txt").write_text("\n".join(lines) + "\n")


@given("a process with {count:d} series of which the last counts {value:d}")
def long_page(context, count, value):
    usual_files(context)
    name = "chivescale_statements_total"
    page = "".join(f'{name}{{label="s{n:06d}"}} 1\n' for n in range(1, count))
    page += f'{name}{{label="s{count:06d}"}} {value}\n'
    address = serve(context, page)
    (context.folder / "fleet.txt").write_text(address + "\n")


@when("the operator sums up the fleet")
def sum_up(context):
    run_command(context, ["fleet", "fleet.txt", "--timeout", "2"])
