import json

import pytest

from ivystack.settings import FaultError, Settings, load

GOOD = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "0f", "settings": {}, "new": 1}


def loaded(tmp_path, **more):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | more))
    return load({"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7"})


def test_the_environment_goes_before_the_file(tmp_path):
    run = loaded(tmp_path, limits={"sockets": 256})
    assert (run.listen, run.seed, run.sockets, run.idle) == (("127.0.0.2", 7), 15, 256, run.IDLE)


def test_a_fault_names_its_key_in_one_line(tmp_path):
    for key, more in {
        "discovery": {"discovery": "nowhere"},
        "seed": {"seed": "zz"},
        "peers[0]": {"peers": ["127.0.0.1:99999"]},
        "sockets": {"limits": {"sockets": "many"}},
        "settings.methods[0].window": {"settings": {"methods": [{"name": "m", "window": -1}]}},
        "settings.limits.conn_idle": {"settings": {"limits": {"conn_idle": "long"}}},
    }.items():
        with pytest.raises(FaultError) as fault:
            loaded(tmp_path, **more)
        assert key in str(fault.value) and "\n" not in str(fault.value)
    for environ in ({}, {"LB_CONFIG": "/nowhere"}):
        with pytest.raises(FaultError, match="LB_CONFIG"):
            load(environ)


def test_what_is_absent_or_null_gets_its_default():
    settings = Settings(1, {"limits": None, "methods": [{"name": "m", "give_up": 5_000}]})
    assert settings.choice.most == 1 and settings.methods["m"].latency_budget == 5


def test_read_again_the_files_discovery_goes_before_the_environments(tmp_path):
    first = loaded(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"discovery": "127.0.0.3:1", "limits": {"sockets": 99}}))
    environ = {"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7", "LB_DISCOVERY": "127.0.0.1:8500"}
    run = load(environ, again=True)
    assert (run.discovery, load(environ).discovery) == (("127.0.0.3", 1), ("127.0.0.1", 8500))
    assert first.differs(run) == ["limits"]
