"""Configuration: the platform's file, the operator's file, and errors that name the invalid key."""

import json
import os
import select
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from ports import hold_port

from rackhub import config
from rackhub.cli import main
from rackhub.operatorfile import hash_password
from rackhub.settings import flatten, parse_settings

SETTINGS = {
    "Services": [{"Name": "lookup", "Deadline": 3_000_000, "Effect": "retryable", "Worth": 1.0}],
    "FamilyInfo": {"Dop": [2], "HoldsTables": [True], "KindCores": [8, 16], "RanksHeeded": True},
    "HostTypes": ["std-8", "std-16"],
    "Permissions": {"DialTimeout": 250_000, "MaxAttempts": 3, "Cancel": True},
    "Tenants": [{"Name": "acme", "Fraction": 0.5}],
    "Obligations": {"Fall": 3_000_000.0},
    "Instances": 3,
    "Period": 5000,
}


def endpoint(name, **more):
    return {
        "name": name,
        "address": "127.0.0.1:5050",
        "zone": "east",
        "type": "std-8",
        "group": 2,
        "status": "ready",
        "weight": 4,
        "since_ms": 0,
    } | more


def watch_notice(rev, *endpoints, snapshot=False):
    return {"rev": rev, "pool": {"index": 7, "snapshot": snapshot, "endpoints": list(endpoints)}}


def platform_config(**more):
    return {
        "name": "n3",
        "listen": "127.0.0.1:5050",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "nameserver": "127.0.0.2:5300",
        "known": {"rev": 3, "notices": [watch_notice(3, endpoint("a"))]},
        "settings": SETTINGS,
    } | more


def test_nested_settings_are_parsed_like_the_flat_pairs():
    pairs = flatten(SETTINGS)
    assert pairs["Services.count"] == "1" and pairs["FamilyInfo.Dop"] == "2" and pairs["Permissions.Cancel"] == "true"
    settings = parse_settings(pairs)
    assert settings.classes[0].threads == 2 and settings.classes[0].locks_tables and settings.gateways == 3
    assert settings.kind_cores == {"std-8": 8.0, "std-16": 16.0} and settings.slow_start_budget_window == 3_000_000


def test_complete_file_is_read():
    parsed = config.parse(json.dumps(platform_config()).encode())
    assert parsed.seed == 0x8C1F30D27A5BE964 and parsed.listen == ("127.0.0.1", 5050)
    assert parsed.engines.addresses == {"a": ("127.0.0.1", 5050)} and parsed.engines.entries[0].kind == "std-8"
    assert parsed.limits.dial_timeout == 250_000 and parsed.limits.file_descriptors == 1024


@pytest.mark.parametrize("memory_mb, sockets", [(32, 256), (64, 256), (80, 384), (192, 1024)])
def test_divided_limits_do_not_exceed_the_resources(memory_mb, sockets):
    """The platform's minimum is 32 MB and 256 descriptors. It was rejected, or the parts exceeded the total."""
    derived = config.parse(
        json.dumps(platform_config(limits={"memory_mb": memory_mb, "sockets": sockets})).encode()
    ).limits
    assert derived.max_client_connections + derived.max_engine_connections + config.RESERVED_DESCRIPTORS <= sockets
    assert derived.max_client_connections >= sockets // 3  # clients are guaranteed a third
    assert (
        derived.max_statement_bytes + derived.max_client_connections * derived.max_request_bytes
        <= (memory_mb - config.IDLE_MEMORY_MB) << 20
    )
    assert derived.max_open_requests >= 64 and derived.max_request_bytes >= 16_384
    divided = config.share_descriptors(
        derived, config.load_operator(Path(__file__).parent.parent / "deploy" / "operator.toml")
    )
    assert (
        divided.max_client_connections + divided.max_tds_connections == derived.max_client_connections
        and divided.max_tds_connections > 0
    )
    assert config.share_descriptors(derived, config.load_operator(None)) == derived


def test_initial_watch_events_are_merged_into_one_list():
    known = {
        "rev": 5,
        "notices": [
            watch_notice(3, endpoint("a"), endpoint("b"), endpoint("c")),
            watch_notice(4, endpoint("a", status="gone")),
            watch_notice(5, endpoint("b", status="draining"), endpoint("d", since_ms=12)),
        ],
    }
    engines = config.parse(json.dumps(platform_config(known=known)).encode()).engines
    assert [(e.engine, e.state, e.started_at) for e in engines.entries] == [
        ("b", "Terminating", 0),
        ("c", "Ready", 0),
        ("d", "Ready", 12_000),
    ]
    assert engines.revision == 5 and set(engines.addresses) == {"b", "c", "d"}


@pytest.mark.parametrize(
    "change, key",
    [
        ({"listen": 5}, "$.listen"),
        ({"listen": "nowhere"}, "listen"),
        ({"nameserver": "127.0.0.1:99999"}, "nameserver"),
        ({"seed": "xyz"}, "seed"),
        ({"known": {"rev": 1}}, "notices"),
        ({"limits": {"sockets": 10}}, "limits.sockets"),
        ({"limits": {"sockets": 1024, "memory_mb": 8}}, "limits.memory_mb"),
        ({"settings": {}}, "settings.Services"),
        ({"known": {"rev": 1, "notices": [watch_notice(1, endpoint("a", status="odd"))]}}, "endpoints[0].status"),
        ({"known": {"rev": 1, "notices": [watch_notice(1, endpoint("a", address="a"))]}}, "endpoints[0].address"),
        ({"settings": SETTINGS | {"Permissions": {"MaxAttempts": "many"}}}, "Permissions.MaxAttempts"),
        ({"settings": SETTINGS | {"Permissions": {"MaxAttempts": 0}}}, "max_attempts"),
        ({"settings": SETTINGS | {"Permissions": {"DialTimeout": "soon"}}}, "settings.Permissions.DialTimeout"),
        ({"settings": SETTINGS | {"Services": [{"Deadline": 5}]}}, "Services.0.Name"),
    ],
)
def test_invalid_file_is_reported_in_one_line_with_the_key(change, key, tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(**change)))
    assert main(["check-config", "--config", str(path)]) == 2
    errors = capsys.readouterr().err
    assert errors.count("\n") == 1 and key in errors and "Traceback" not in errors


def test_missing_file_and_invalid_json_are_reported(tmp_path, capsys, monkeypatch):
    monkeypatch.delenv("BALANCER_CONFIG", raising=False)
    assert main(["serve"]) == 2 and "BALANCER_CONFIG" in capsys.readouterr().err
    assert main(["serve", "--config", str(tmp_path / "none")]) == 2 and "none" in capsys.readouterr().err
    (tmp_path / "odd").write_bytes(b"\xff{")
    assert main(["check-config", "--config", str(tmp_path / "odd")]) == 2 and "not JSON" in capsys.readouterr().err
    assert main(["dance"]) == 2


OPERATOR = f'''[tds_front]
listen = "127.0.0.1:1433"
database = "rides"
[[tds_front.login]]
user = "desk"
password = "{hash_password("open sesame", b"0123456789abcdef")}"
class = "lookup"
tenants = ["acme"]
'''


@pytest.mark.parametrize(
    "old, new, key",
    [
        ("", "", ""),
        ('"lookup"', '"other"', "login[0].class"),
        ('"acme"', '"nobody"', "login[0].tenants"),
        ('["acme"]', "[]", "login[0].tenants"),
        ("scrypt:", "plain:", "password"),
        ("127.0.0.1:1433", "desk", "tds_front.listen"),
        ("user", "usr", "usr"),
        ("database", "data", "data"),
    ],
)
def test_operators_file_is_checked_against_the_site(old, new, key, tmp_path, capsys):
    (tmp_path / "c.json").write_text(json.dumps(platform_config()))
    (tmp_path / "o.toml").write_text(OPERATOR.replace(old, new) if old else OPERATOR)
    code = main(["check-config", "--config", str(tmp_path / "c.json"), "--operator", str(tmp_path / "o.toml")])
    errors = capsys.readouterr().err
    assert (code, errors) == (0, "") if not key else code == 2 and key in errors and errors.count("\n") == 1


def test_operators_file_in_deploy_is_valid():
    operator = config.load_operator(Path(__file__).parent.parent / "deploy" / "operator.toml")
    assert operator.tds_front.login[0].cls == "report" and operator.tds_engines is None
    assert config.load_operator(None).tds_front is None  # disabled by default


def test_process_serves_reloads_drains_on_sigterm_and_prints_its_counters(tmp_path):
    """A process as the platform runs it. The test waits for events on pipes and sockets, never for a fixed time."""
    unresponsive = socket.create_server(("127.0.0.1", 0))  # an engine that accepts connections and sends nothing
    port = hold_port()
    known = {
        "rev": 3,
        "notices": [watch_notice(3, endpoint("a", address=f"127.0.0.1:{unresponsive.getsockname()[1]}"))],
    }
    (tmp_path / "c.json").write_text(json.dumps(platform_config(listen=f"127.0.0.1:{port}", known=known)))
    process = subprocess.Popen(
        [sys.executable, "-m", "rackhub", "serve"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"BALANCER_CONFIG": str(tmp_path / "c.json")},
    )
    try:
        assert f"serves on 127.0.0.1:{port}" in process.stderr.readline()
        with socket.create_connection(("127.0.0.1", port)) as client:
            lines = client.makefile("rwb")

            def ask(text):
                lines.write(text + b"\n")
                lines.flush()
                return json.loads(lines.readline())

            assert ask(b'{"jsonrpc":"2.0","id":1,"method":"alive"}') == {
                "jsonrpc": "2.0",
                "id": 1,
                "result": {"pass": True},
            }
            for number in range(100):  # a late event loop rejects the request; the client sends it again
                request = {
                    "jsonrpc": "2.0",
                    "id": 7,
                    "method": "lookup",
                    "params": {
                        "rid": f"9b1f03aa5c7e2d{number:02x}",
                        "budget": 1200,
                        "acct": "acme",
                        "body": "U0VMRUNUIDE=",
                    },
                }
                lines.write(json.dumps(request).encode() + b"\n")
                lines.flush()
                ready = select.select([unresponsive, client], [], [], 60)[0]
                if unresponsive in ready:
                    break
                assert ready and json.loads(lines.readline())["error"]["code"] == -32008
            engine, _ = unresponsive.accept()
            assert engine.recv(100).startswith(b"*4\r\n$4\r\nwant\r\n$16\r\n" + request["params"]["rid"].encode())
            process.send_signal(signal.SIGUSR1)
            assert "alives_in=1" in process.stderr.readline()
            # Without a handler SIGHUP ends the process: on a scored day every reload stopped all coordinators.
            name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            name_server.bind(("127.0.0.1", 0))
            moved = f"127.0.0.1:{name_server.getsockname()[1]}"
            for text, message in (
                ("{", "the file: not JSON"),
                (json.dumps(platform_config(nameserver="nowhere")), "nameserver: "),
                (json.dumps(platform_config(listen=f"127.0.0.1:{port}", known=known, nameserver=moved)), moved),
            ):
                (tmp_path / "c.json").write_text(text)
                process.send_signal(signal.SIGHUP)
                assert message in process.stderr.readline()
            assert b"_app" in name_server.recv(512)  # the process polls at the new address and keeps its connections
            name_server.close()
            process.send_signal(signal.SIGTERM)
            assert "shutting down" in process.stderr.readline()
            assert ask(b'{"jsonrpc":"2.0","id":2,"method":"alive"}')["result"] == {"pass": False}
            answer = json.loads(lines.readline())  # the open request is answered before the process ends
            assert answer["id"] == 7 and answer["error"]["code"] == -32008 and answer["error"]["data"]["backoff"] >= 0
            assert lines.readline() == b""  # the connection is closed gracefully
            engine.close()
        assert "counters: clients_accepted=1" in process.stderr.read()
        assert process.wait() == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
        unresponsive.close()


def test_listening_address_in_use_is_reported(tmp_path):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listen = f"127.0.0.1:{listener.getsockname()[1]}"
        (tmp_path / "c.json").write_text(json.dumps(platform_config(listen=listen)))
        done = subprocess.run(
            [sys.executable, "-m", "rackhub", "serve", "--config", str(tmp_path / "c.json")],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert done.returncode == 2 and listen in done.stderr and "Traceback" not in done.stderr
