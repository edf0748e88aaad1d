"""Nothing is sent to a draining server while the discovery agent is late with its answer to a call."""

import signal
import socket
import time

import pytest
from stale_list import COMMANDS

TOLD_AFTER_SILENCE_SECONDS = 6.0  # what a silent watch misses counts as told by then
TOLD_AFTER_MOVE_SECONDS = 4.0  # what a new discovery address has to tell counts as told by then
ANSWER_DELAYS = (0.06, 0.3, 1.5)  # seconds from a call to its answer
LATEST_ANSWER = max(ANSWER_DELAYS)


def assert_served_by_the_new_list(play, told_at):
    assert play.read_answers() == COMMANDS
    assert play.late_commands(told_at) == 0


@pytest.mark.parametrize("seconds", ANSWER_DELAYS)
def test_a_new_process_does_not_serve_by_its_known_list_before_a_late_answer(play, seconds):
    play.answer_late(seconds)
    play.start()
    play.process.send_signal(signal.SIGSTOP)
    told_at = play.drain()
    time.sleep(1.5)
    play.process.send_signal(signal.SIGCONT)
    play.connect()
    play.send_commands()
    assert_served_by_the_new_list(play, told_at)


@pytest.mark.parametrize("seconds", ANSWER_DELAYS)
def test_a_watch_that_was_reset_in_a_stall_is_heard_again_before_anything_is_sent(play, seconds):
    play.serve_a_round()
    play.answer_late(seconds)
    told = []
    play.hold(1.6, play.reset_watches, lambda: told.append(play.drain()), play.send_commands)
    assert_served_by_the_new_list(play, told[0])


def test_a_running_process_sends_nothing_past_the_grace_of_a_drain_that_a_reset_hid(play):
    play.serve_a_round()
    play.answer_late(LATEST_ANSWER)
    play.reset_watches()
    told_at = play.drain()
    time.sleep(1.1)
    play.send_commands()
    assert_served_by_the_new_list(play, told_at)


def test_a_silent_watch_is_heard_again_before_anything_is_sent_after_a_stall(play):
    play.serve_a_round()
    play.answer_late(LATEST_ANSWER)
    play.mute_watches()
    silent_at = time.monotonic()
    play.hold(8.0, play.drain, play.send_commands)
    assert_served_by_the_new_list(play, silent_at + TOLD_AFTER_SILENCE_SECONDS)


def test_a_running_process_hears_a_silent_watch_again_within_the_grace(play):
    play.serve_a_round()
    play.answer_late(LATEST_ANSWER)
    play.mute_watches()
    silent_at = time.monotonic()
    play.drain()
    time.sleep(silent_at + TOLD_AFTER_SILENCE_SECONDS + 1.06 - time.monotonic())
    play.send_commands()
    assert_served_by_the_new_list(play, silent_at + TOLD_AFTER_SILENCE_SECONDS)


def test_a_moved_discovery_is_heard_before_anything_is_sent_after_a_stall(play):
    play.serve_a_round()
    play.answer_late(LATEST_ANSWER)
    play.mute_watches()
    told = []
    play.hold(6.0, lambda: told.append(play.move_discovery()), play.drain, play.send_commands)
    assert_served_by_the_new_list(play, told[0] + TOLD_AFTER_MOVE_SECONDS)


def test_signals_in_series_do_not_make_an_old_list_new(play):
    # The watch is reset, and each SIGHUP ends the call that would tell of the drain.
    play.serve_a_round()
    play.answer_late(0.6)
    play.reset_watches()
    told_at = play.drain()
    for _ in range(4):
        play.move_discovery()
        time.sleep(0.3)
    play.send_commands()
    assert_served_by_the_new_list(play, told_at)


def test_a_handed_over_port_waits_for_a_late_answer(play):
    with socket.create_server(("127.0.0.1", play.port), backlog=64) as listener:
        (play.folder / "tmp").mkdir()
        old = play.start(listener)
        play.connect()
        play.send_commands()
        assert play.read_answers() == COMMANDS
        play.answer_late(LATEST_ANSWER)
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
        assert_served_by_the_new_list(play, told_at)


def test_a_call_that_is_reset_before_its_late_answer_is_no_refusal(play):
    play.answer_late(0.6)
    play.start()
    play.process.send_signal(signal.SIGSTOP)
    told_at = play.drain()
    time.sleep(1.5)
    play.process.send_signal(signal.SIGCONT)
    play.connect()
    play.send_commands()
    time.sleep(0.3)
    play.reset_calls()
    assert_served_by_the_new_list(play, told_at)
