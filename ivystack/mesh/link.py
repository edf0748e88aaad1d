"""A connection between two proxies: handshake, signed messages and heartbeats.

A received message is passed on only if its signature is valid for this connection, this direction and this
position in the sequence of messages. The bytes queued for a slow peer are bounded.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger
from twisted.internet import error
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from .keys import DIGEST_BYTES
from .protocol import (
    FROM_ACCEPTOR,
    FROM_DIALER,
    HANDSHAKE_TAG,
    HEARTBEAT_KIND,
    MAX_MESSAGE_BYTES,
    MESSAGE_TAG,
    NONCE_BYTES,
    UNLOGGED_CODES,
    VERSION,
    DropCode,
    Handshake,
    encode,
    handshake_decoder,
    message_decoder,
    version_code,
)
from .send_queue import SendQueue

if TYPE_CHECKING:
    from ..net.deadlines import Deadline
    from .mesh import Mesh

HEARTBEAT_INTERVAL = 500_000  # microseconds between heartbeats while no other message is queued
SILENCE_TIMEOUT = 2_000_000  # microseconds without a received byte before the link is closed: four heartbeats
HANDSHAKE_TIMEOUT = 2_000_000  # microseconds for the handshakes of both sides
READ_BYTES = 65_536  # read at once; bounds the delay of other connections
FRAME_OVERHEAD = 256  # bytes by which a frame may be longer than its message


class Link(Int32StringReceiver):
    """The protocol of a connection, for dialer and acceptor.

    A link is `authenticated` once the peer's handshake is verified. It is `established` once the peer has
    proved that the connection is not a replay. For the dialer the handshake is this proof, because it covers
    the dialer's nonce; for the acceptor the proof is the first message.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES + FRAME_OVERHEAD
    transport: Any

    def __init__(self, mesh: Mesh, peer: str | None) -> None:
        """Create one side of a link; `peer` is the name of the dialed proxy, None for the acceptor."""
        self.mesh, self.peer, self.is_dialer = mesh, peer or "", peer is not None
        self.incarnation = ""  # the peer's
        self.own_nonce, self.peer_nonce = secrets.token_bytes(NONCE_BYTES), b""
        self.key_id: str | None = None  # id of the key that signed the peer's handshake
        self.authenticated = False
        self.established = False
        self.sent = self.received = 0  # number of messages, and so the sequence number of the next message
        self.queue = SendQueue()
        self.paused = False  # the transport accepts no data at present
        self.code: str | None = None  # reason for the close of the link
        self.last_received_at = 0
        self.timer: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)
        self.last_received_at = self.mesh.now()
        deadline = self.last_received_at + HANDSHAKE_TIMEOUT
        self.timer = self.mesh.deadlines.call_at(deadline, self.handshake_timeout)
        self.mesh.connected(self)
        if self.is_dialer:
            self._send_handshake()

    def _send_handshake(self) -> None:
        mesh = self.mesh
        body = encode(Handshake(VERSION, mesh.name, self.peer, mesh.incarnation, self.own_nonce))
        # The dialer does not know the peer's nonce yet. The acceptor's signature covers the dialer's nonce.
        self.sendString(mesh.keys.sign(HANDSHAKE_TAG, self.peer_nonce, body) + body)

    def handshake_timeout(self) -> None:
        """Close the link if it is not established yet."""
        if not self.established:
            self.close(DropCode.NO_HANDSHAKE)

    def _handshake_received(self, signature: bytes, body: bytes) -> None:
        challenge = self.own_nonce if self.is_dialer else b""
        self.key_id = self.mesh.keys.verify(signature, HANDSHAKE_TAG, challenge, body)
        if self.key_id is None:
            return self.mesh.reject(self, DropCode.BAD_KEY)
        try:
            handshake = handshake_decoder.decode(body)
        except msgspec.MsgspecError:
            return self.close(DropCode.UNREADABLE)
        if handshake.version != VERSION:
            return self.close(version_code(handshake.version))
        if not self._is_expected(handshake):
            return self.close(DropCode.WRONG_NAME)
        if not self.is_dialer and not self.mesh.address_matches(handshake.sender, self._peer_host()):
            return self.mesh.reject(self, DropCode.WRONG_ADDRESS)
        self.peer, self.incarnation = handshake.sender, handshake.incarnation
        self.peer_nonce = handshake.nonce
        self.authenticated = True
        if not self.is_dialer:
            return self._send_handshake()
        self._establish()
        # The signature of the first message covers both nonces: it proves that this connection is no replay.
        return self.send(HEARTBEAT_KIND, None)

    def _is_expected(self, handshake: Handshake) -> bool:
        """Return whether the peer is the dialed proxy or, for an acceptor, has dialed this proxy."""
        if self.is_dialer:
            return handshake.sender == self.peer
        return handshake.recipient == self.mesh.name

    def _establish(self) -> None:
        self.established = True
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.mesh.deadlines.call_at(self.mesh.now() + HEARTBEAT_INTERVAL, self.heartbeat)
        self.mesh.established(self)

    def heartbeat(self) -> None:
        """Close the link if the peer is silent; otherwise send a heartbeat if no message is queued."""
        now = self.mesh.now()
        if now - self.last_received_at > SILENCE_TIMEOUT:
            return self.close(DropCode.SILENT)
        if not self.queue:
            self.send(HEARTBEAT_KIND, None)
        self.timer = self.mesh.deadlines.call_at(now + HEARTBEAT_INTERVAL, self.heartbeat)
        return None

    def send(self, kind: str, body: Any) -> None:
        """Encode and queue a message."""
        self.send_encoded(encode((kind, body)))

    def send_encoded(self, message: bytes) -> None:
        """Queue an encoded message, and send queued messages while the transport accepts data."""
        for _ in range(self.queue.append(message)):
            self.mesh.count_drop(DropCode.QUEUE_FULL, self.peer)
        self._flush()

    def _flush(self) -> None:
        while self.queue and not self.paused:
            message = self.queue.popleft()
            signature = self.mesh.keys.sign(*self._binding(self.is_dialer, self.sent), message)
            self.sent += 1
            self.sendString(signature + message)

    def _binding(self, from_dialer: bool, number: int) -> tuple[bytes, ...]:
        """Return what a signature covers besides the message: nonces, direction and sequence number."""
        nonces = (self.own_nonce, self.peer_nonce) if self.is_dialer else (self.peer_nonce, self.own_nonce)
        direction = FROM_DIALER if from_dialer else FROM_ACCEPTOR
        return MESSAGE_TAG, *nonces, direction, number.to_bytes(8, "big")

    def pauseProducing(self) -> None:  # noqa: N802, D102
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802, D102
        self.paused = False
        self._flush()

    def stopProducing(self) -> None:  # noqa: N802, D102
        self.paused = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.last_received_at = self.mesh.now()
        super().dataReceived(data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802, D102
        if self.code is not None:
            return
        signature, body = frame[:DIGEST_BYTES], frame[DIGEST_BYTES:]
        if self.authenticated:
            self._message_received(signature, body)
        else:
            self._handshake_received(signature, body)

    def _message_received(self, signature: bytes, body: bytes) -> None:
        binding = self._binding(not self.is_dialer, self.received)
        if self.mesh.keys.verify(signature, *binding, body) is None:
            return self.mesh.reject(self, DropCode.BAD_DIGEST)
        self.received += 1
        if not self.established:
            self._establish()
        try:
            kind, content = message_decoder.decode(body)
        except msgspec.MsgspecError:
            return self.close(DropCode.UNREADABLE)
        if kind != HEARTBEAT_KIND:
            self.mesh.message_received(self, kind, content)
        return None

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802, D102
        self.close(DropCode.TOO_LONG)

    def stop(self) -> None:
        """Close the connection after all written data is sent."""
        self.code = self.code or DropCode.STOPPING
        self.transport.unregisterProducer()  # a paused producer would keep the transport from closing
        self.transport.loseConnection()

    def close(self, code: str) -> None:
        """Close the connection at once; a code that is set already is kept."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.timer is not None:
            self.timer.cancel()
        if self.code is None:
            closed = reason.check(error.ConnectionDone)
            self.code = DropCode.PEER_CLOSED if closed else DropCode.PEER_RESET
        if self.authenticated or self.code not in UNLOGGED_CODES:
            message = "mesh: link closed peer={} messages={} code={}"
            logger.info(message, self.peer or self._peer_host(), self.sent + self.received, self.code)
        self.mesh.disconnected(self)

    def _peer_host(self) -> str:
        return self.transport.getPeer().host
