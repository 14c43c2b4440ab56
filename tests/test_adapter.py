"""Feeds transcripts of the simulator to the adapter, which runs in a process of its own."""

import subprocess
import sys

START = (
    "START\tI=gateway-0\tRngSeed=7\tInstances=1\tMe=0\tPeriod=5000\tHostTypes=std\tFamilyInfo.KindCores=16"
    "\tFamilyInfo.Dop=1\tPermissions.MaxAttempts=3\tPermissions.MaxRetryAfter=2000000\tServices.count=1"
    "\tServices.0.Name=lookup\tServices.0.Effect=retryable\tServices.0.Deadline=2500000"
    "\tServices.0.Objective=500000\tServices.0.Worth=1.0\tTenants.count=1\tTenants.0.Name=firm\tNew.Thing=x"
)
PAGE = "DIRECTORY\tPage=0\tRows=1\nM\tNode=node-a\tDc=z\tModel=std\tStageState=Ready\tSize=1"
ENDPOINT_LIST = "MEMBERS\tI=gateway-0\tScope=Persisted\tRev=1\tPage=0"
ORDER = "ORDER\tI=gateway-0\tRequestId=00000000000000aa\tTenant=firm\tDropDead=3000000\tCls=lookup\tLater=1"


def run_adapter(*lines):
    result = subprocess.run(
        [sys.executable, "-m", "rackhub.adapter"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=60,
    )
    return result.stdout.splitlines(), result.stderr, result.returncode


def test_empty_batch_gets_an_empty_reply():
    assert run_adapter("SYNC\tT=1", "END") == (["END"], "", 0)


def test_query_is_sent_and_closed_by_its_outcome():
    out, err, code = run_adapter(
        "SYNC\tT=1000000",
        START,
        PAGE,
        ENDPOINT_LIST,
        "END",
        "SYNC\tT=1005000",
        ORDER,
        "WHATEVER\tI=gateway-0",
        "END",
        "SYNC\tT=1100000",
        "OUTCOME\tI=gateway-0\tRequestId=00000000000000aa\tSettled=1\tReason=GOOD\tNode=node-a"
        "\tSendNo=0\tWaitTime=90000",
        "END",
    )
    assert code == 0 and err == ""
    assert out.count("END") == 3
    assert "TRY\tI=gateway-0\tRequestId=00000000000000aa\tNode=node-a" in out
    assert not [line for line in out if line.startswith(("SHED", "GIVE_UP", "CRASH"))]


def test_missing_field_is_named_and_crashes_the_instance():
    out, err, code = run_adapter(
        "SYNC\tT=1000000", START, PAGE, ENDPOINT_LIST, ORDER.replace("\tCls=lookup", ""), "END"
    )
    assert "CRASH\tI=gateway-0\tReasonText=ORDER: field Cls is missing" in out
    assert "ORDER: field Cls is missing" in err and "Traceback" not in err
    assert out[-1] == "END" and code == 0


def test_invalid_value_is_named():
    out, err, _ = run_adapter("SYNC\tT=1000000", START, PAGE, ENDPOINT_LIST, ORDER.replace("3000000", "soon"), "END")
    assert any(line.startswith("CRASH\tI=gateway-0") and "DropDead" in line for line in out)
    assert "DropDead" in err and "'soon'" in err


def test_line_without_an_instance_ends_the_process():
    _, err, code = run_adapter("SYNC\tT=1000000", START, PAGE, ENDPOINT_LIST, ORDER.replace("\tI=gateway-0", ""), "END")
    assert code != 0 and "field I is missing" in err


def test_invalid_setting_is_named():
    out, err, _ = run_adapter(
        "SYNC\tT=1000000", START.replace("MaxAttempts=3", "MaxAttempts=0"), PAGE, ENDPOINT_LIST, "END"
    )
    assert any("CRASH" in line and "max_attempts" in line for line in out)
    assert "max_attempts" in err


def test_crash_of_an_instance_does_not_affect_others():
    other = [line.replace("gateway-0", "gateway-1") for line in (START, ENDPOINT_LIST)]
    out, _, _ = run_adapter(
        "SYNC\tT=1000000",
        START,
        PAGE,
        ENDPOINT_LIST,
        *other,
        ORDER.replace("\tCls=lookup", ""),
        ORDER.replace("gateway-0", "gateway-1"),
        "END",
    )
    assert any(line.startswith("TRY\tI=gateway-1") for line in out)


def test_adapter_is_deterministic():
    lines = ("SYNC\tT=1000000", START, PAGE, ENDPOINT_LIST, "END", "SYNC\tT=1005000", ORDER, "END")
    assert run_adapter(*lines) == run_adapter(*lines)


def test_kind_memory_is_parsed_and_gossip_is_sent_to_peers():
    start = START.replace("Instances=1", "Instances=2").replace(
        "\tNew.Thing=x",
        ("\tPermissions.Peers=true\tPermissions.Probes=true\tFamilyInfo.RamOfKindMb=32768.0\tReport.Source=silent"),
    )
    health_checks = [
        line
        for elapsed in (1000, 1000, 9000)
        for line in ("SYNC\tT=1005000", f"SAMPLED\tI=gateway-0\tNode=node-a\tReason=GOOD\tWaitTime={elapsed}", "END")
    ]
    announcements = set()
    for seed in range(7, 13):  # The random peer may be the gateway itself, to which nothing is sent.
        out, err, code = run_adapter(
            "SYNC\tT=1000000",
            start.replace("RngSeed=7", f"RngSeed={seed}"),
            PAGE,
            ENDPOINT_LIST,
            "END",
            *health_checks,
            "SYNC\tT=1006000",
            "MAIL\tI=gateway-0\tOriginPeer=1\tContents=0102030405",
            "END",
        )
        assert code == 0 and err == ""
        announcements |= {line.split("Contents=")[0] for line in out if line.startswith("ANNOUNCE")}
    assert announcements == {"ANNOUNCE\tI=gateway-0\tWhom=1\t"}
