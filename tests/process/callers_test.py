"""Invalid input of callers and operators is refused with the documented problem
or exit code and never reaches an endpoint. Also runs the examples of the manual
pages."""

import json
import pathlib
import re
import socket
import subprocess
import sys

from fleet import BINARY, ROOT, Fleet, http_call, wait_until

CHAT = "/v1/chat/completions"
GOOD = {"X-Customer": "c"}
GOOD_BODY = json.dumps({"model": "dossier", "messages": [{"role": "user", "content": "?"}]})
SETTINGS = """max_body_bytes = 2048
max_header_bytes = 2048
max_connections = 20
request_timeout_ms = 400
"""


def expect_problem(what, reply, status, title, run):
    got_status, headers, body = reply
    problem = json.loads(body)
    assert headers["Content-Type"] == "application/problem+json", (what, headers)
    assert (got_status, problem["title"], problem["run"]) == (status, title, run), (what, body)


def raw(address, data, wait=True):
    """Sends raw bytes; returns what is received until the connection closes."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(data)
        received = b""
        while wait:
            part = connection.recv(65536)
            if not part:
                break
            received += part
    return received


def bad_requests(fleet):
    node = fleet.nodes["entry-1"]
    def chat(body=GOOD_BODY, headers=None):
        return http_call(node, "POST", CHAT, body, headers or GOOD)
    malformed = {
        "no customer": chat(headers={"X-Profile": "chat"}),
        "not JSON": chat("{"), "not an object": chat("[]"), "no model": chat("{}"),
        "model not a string": chat('{"model":1,"messages":[{}]}'),
        "no messages": chat('{"model":"dossier","messages":[]}'),
        "stream not a flag": chat('{"model":"dossier","messages":[{}],"stream":"yes"}'),
        "odd name": chat(headers={"X-Customer": 'a"b'}),
        "odd timeout": chat(headers={**GOOD, "X-Timeout-Ms": "soon"}),
        "no profile": http_call(node, "GET", "/services/desk/x", None, GOOD),
        "no service": http_call(node, "GET", "/services//x", None, {**GOOD, "X-Profile": "chat"}),
    }
    for what, reply in malformed.items():
        expect_problem(what, reply, 400, "malformed", "not-read")
    expect_problem("body too large", chat("x" * 4000), 413, "oversized", "not-read")
    expect_problem("header too large", chat(headers={**GOOD, "X-Filler": "x" * 4000}),
                   413, "oversized", "not-read")
    expect_problem("model unknown", chat('{"model":"x","messages":[{}]}'),
                   404, "unknown-model", "not-run")
    expect_problem("profile unknown", chat(headers={**GOOD, "X-Profile": "x"}),
                   400, "unknown-profile", "not-run")
    expect_problem("path unknown", http_call(node, "GET", "/x"), 404, "unknown-path", "not-read")
    order = {**GOOD, "X-Profile": "approval"}
    expect_problem("order without key", http_call(node, "POST", "/services/desk/x", "{}", order),
                   428, "ticket-required", "not-run")
    expect_problem("order with bad ticket",
                   http_call(node, "POST", "/services/desk/x", "{}",
                             {**order, "Idempotency-Key": "tt1-zzz"}),
                   400, "ticket-malformed", "not-run")
    expect_problem("service unknown",
                   http_call(node, "GET", "/services/x/y", None, {**GOOD, "X-Profile": "lookup"}),
                   404, "unknown-service", "not-run")
    assert b" 400 " in raw(node, b"\x16\x03\x01nonsense\r\n\r\n"), "bytes that are not HTTP"
    assert b" 408 " in raw(node, b"POST /v1/chat/completions HTTP/1.1\r\n"), "a slow request"
    raw(node, b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf", wait=False)


def too_many_connections(fleet):
    node = fleet.nodes["entry-1"]
    host, port = node.split(":")
    idle = [socket.create_connection((host, int(port))) for _ in range(20)]
    try:
        def is_refused():
            refusal = raw(node, b"GET /healthz HTTP/1.1\r\n\r\n")
            return b"too-many-connections" in refusal
        wait_until(is_refused, "connections over the limit are refused")
    finally:
        for connection in idle:
            connection.close()
    wait_until(lambda: fleet.is_ready("entry-1"), "the node serves again")


def one_key_two_requests(fleet):
    node = fleet.nodes["entry-1"]
    ticket = json.loads(http_call(node, "GET", "/v1/address")[2])["ticket"]
    headers = {**GOOD, "X-Profile": "approval", "Idempotency-Key": ticket + "-1"}
    assert http_call(node, "POST", "/services/desk/x", '{"a":1}', headers)[0] == 200
    expect_problem("another request under the key",
                   http_call(node, "POST", "/services/desk/x", '{"a":2}', headers),
                   422, "key-reused", "not-run")


def manual_pages(fleet):
    """Runs the curl commands of docs/CALLERS.md unchanged but for the address."""
    text = (ROOT / "docs/CALLERS.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```\n(.*?)```", text, re.S)
    commands = [block for block in blocks if "curl" in block]
    assert len(commands) == 4, "the page has four examples"
    for block in commands:
        script = "\n".join(line for line in block.split("\n") if not line.startswith("{"))
        script = script.replace("127.0.0.1:8001", fleet.nodes["entry-1"])
        done = subprocess.run(["bash", "-ec", script], capture_output=True, text=True,
                              timeout=30, check=True)
        assert done.stdout and "urn:teaselthread" not in done.stdout, (script, done.stdout)


def command_line(folder):
    def run(*words):
        done = subprocess.run([str(BINARY), *map(str, words)], capture_output=True, text=True,
                              timeout=30, check=False)
        return done.returncode, done.stdout + done.stderr
    bad = pathlib.Path(folder) / "bad.ini"
    bad.write_text("[profile x]\npriority = 99\ncolour = red\n", encoding="utf-8")
    assert run("--version") == (0, "teaselthread 0.1.0\n")
    assert "ctl zone out|in NAME" in run("--help")[1]
    assert run()[0] == 1 and run("ctl", "dance")[0] == 1 and run("--nonsense")[0] == 1
    assert run("node")[0] == 1 and run("node", "--config", "/nowhere")[0] == 2
    code, text = run("ctl", "validate", bad)
    assert code == 2 and "priority: expected 0 to 9" in text and "colour" in text, text
    for user in ("trinacria", "qalamkar"):
        examples = ROOT / "examples" / user
        assert run("ctl", "validate", examples / "configuration.ini")[0] == 0
        assert run("node", "--check", "--config", examples / "entry-1.ini")[0] == 0
    assert run("--platform", "127.0.0.1:1", "ctl", "show")[0] == 3
    assert run("--platform", "nonsense", "ctl", "show")[0] == 2


def main():
    with Fleet(["a"], engines=2, services=1, nodes=1, base_port=24000,
               node_settings=SETTINGS) as fleet:
        started = sum(fleet.stats(address)["started"] for address in fleet.engines.values())
        bad_requests(fleet)
        too_many_connections(fleet)
        now_started = sum(fleet.stats(address)["started"] for address in fleet.engines.values())
        assert now_started == started, "a bad request has reached an engine"
        assert not fleet.runs_per_key(), "a bad request has reached a service"
        one_key_two_requests(fleet)
        manual_pages(fleet)
        command_line(fleet.folder.name)
        print("bad requests, limits, manual pages and command line are as documented")
    return 0


if __name__ == "__main__":
    sys.exit(main())
