"""Nothing is sent to a draining server while the discovery agent is late with its answer to a call."""

import signal
import time

import pytest
from stale_list import COMMANDS, StaleListPlay

ANSWER_DELAY_SECONDS = 1.5  # from a call to its answer


@pytest.fixture
def play(tmp_path):
    """Yield a play whose proxy is not started yet; end its processes."""
    play = StaleListPlay(tmp_path)
    yield play
    play.close()


def serve_a_round(play):
    """Start the proxy and serve each command once, so that it has connections to all servers."""
    play.start()
    play.connect()
    play.send_commands()
    assert play.read_answers() == COMMANDS


def assert_served_by_the_new_list(play, told_at):
    assert play.read_answers() == COMMANDS
    assert play.late_commands(told_at) == 0


def test_a_new_process_does_not_serve_by_its_known_list_before_a_late_answer(play):
    play.answer_late(ANSWER_DELAY_SECONDS)
    play.start()
    play.process.send_signal(signal.SIGSTOP)
    told_at = play.drain()
    time.sleep(1.5)
    play.process.send_signal(signal.SIGCONT)
    play.connect()
    play.send_commands()
    assert_served_by_the_new_list(play, told_at)


def test_a_watch_that_was_reset_in_a_stall_is_heard_again_before_anything_is_sent(play):
    serve_a_round(play)
    play.answer_late(ANSWER_DELAY_SECONDS)
    told = []
    play.hold(1.6, play.reset_watches, lambda: told.append(play.drain()), play.send_commands)
    assert_served_by_the_new_list(play, told[0])
