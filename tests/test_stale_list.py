"""Nothing is sent to a draining server by an endpoint list that is older than what discovery has told."""

import signal
import socket
import time

from stale_list import COLD_SHARE, COMMANDS

TOLD_AFTER_SILENCE_SECONDS = 6.0  # what a silent watch misses counts as told by then


def test_a_process_that_comes_up_late_does_not_serve_by_its_known_list(play):
    # Guards against requests of the first turns that are sent before the first answer of discovery was read.
    play.start()
    play.process.send_signal(signal.SIGSTOP)
    told_at = play.drain()
    time.sleep(1.5)
    play.process.send_signal(signal.SIGCONT)
    play.connect()
    play.send_commands()
    assert play.read_answers() == COMMANDS
    assert play.late_commands(told_at) == 0


def test_commands_from_before_a_change_are_not_sent_by_the_old_list_after_a_stall(play):
    # Guards against commands that are handled while a line of the watch lies unread behind them.
    play.serve_a_round()
    told = []
    play.hold(1.6, play.send_commands, lambda: told.append(play.drain()))
    assert play.read_answers() == COMMANDS
    assert play.late_commands(told[0]) == 0


def test_a_stall_beside_a_silent_watch_is_followed_by_a_call_before_anything_is_sent(play):
    # Guards against a watch that counts as alive because its last line was read late.
    play.serve_a_round()
    play.mute_watches()
    silent_at = time.monotonic()
    play.hold(8.0, play.drain, play.send_commands)
    assert play.read_answers() == COMMANDS
    assert play.late_commands(silent_at + TOLD_AFTER_SILENCE_SECONDS) == 0


def test_commands_in_the_backlog_of_a_handed_over_port_wait_for_discovery(play):
    # The new process imports the old one's list, which is older than what the agent has.
    with socket.create_server(("127.0.0.1", play.port), backlog=64) as listener:
        (play.folder / "tmp").mkdir()
        old = play.start(listener)
        play.connect()
        play.send_commands()
        assert play.read_answers() == COMMANDS
        new = play.start(listener)
        time.sleep(0.2)
        new.send_signal(signal.SIGSTOP)
        old.send_signal(signal.SIGSTOP)
        told_at = play.drain()
        time.sleep(1.5)
        play.reconnect()
        play.send_commands()
        new.send_signal(signal.SIGCONT)
        old.kill()
        assert play.read_answers() == COMMANDS
    assert play.late_commands(told_at) == 0


def test_a_process_that_comes_up_late_spares_servers_that_have_started_since(play):
    # Guards against a cold server that is taken for warm by an old list.
    play.start()
    play.process.send_signal(signal.SIGSTOP)
    play.restart_servers()
    time.sleep(0.3)
    play.process.send_signal(signal.SIGCONT)
    play.connect()
    play.send_commands()
    assert play.read_answers() == COMMANDS
    received = [command for node in play.servers[:2] for command in node.standin.ledger.commands]
    assert len(received) <= COLD_SHARE * COMMANDS
