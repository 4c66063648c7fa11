"""Handshake between daemons: checks protocol version and cluster key."""

from __future__ import annotations

import asyncio
import hmac
import secrets

from turmericlug.wire import codec

TIMEOUT_S = 2.0
_NONCE_BYTES = 16


class HandshakeError(Exception):
    """The handshake failed on either side; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


async def accept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: str, instance: str
) -> str:
    """
    Authenticate a peer that connected to this instance.

    A peer of another cluster must not reach the queues; with a different key its proof is wrong.
    The nonce is new for each connection, so a recorded handshake cannot be replayed.

    :param key: the cluster key
    :param instance: the name of this instance
    :returns: the peer's name
    :raises HandshakeError: ``wrong_protocol``, ``wrong_key``, ``malformed``, ``closed`` or
        ``timeout``
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    challenge = codec.envelope(0)
    codec.fill(
        challenge,
        "challenge",
        protocol=codec.PROTOCOL_VERSION,
        nonce=nonce,
        instance=instance,
    )
    writer.write(codec.encode(challenge))
    message = await _read_frame(reader)
    if message.which() != "hello":
        raise HandshakeError("malformed")
    hello = message.hello
    reason = ""
    if hello.protocol != codec.PROTOCOL_VERSION:
        reason = "wrong_protocol"
    elif not hmac.compare_digest(hello.proof, _proof(key, nonce, hello.instance, instance)):
        reason = "wrong_key"
    reply = codec.envelope(0)
    if reason:
        reply.rejected = reason
        writer.write(codec.encode(reply))
        raise HandshakeError(reason)
    reply.welcome = instance
    writer.write(codec.encode(reply))
    return hello.instance


async def initiate(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: str, instance: str
) -> str:
    """
    Authenticate this instance to a peer that it connected to.

    :returns: the peer's name
    :raises HandshakeError: the peer's reason, or ``malformed``, ``closed`` or ``timeout``
    """
    message = await _read_frame(reader)
    if message.which() != "challenge":
        raise HandshakeError("malformed")
    challenge = message.challenge
    hello = codec.envelope(0)
    codec.fill(
        hello,
        "hello",
        protocol=codec.PROTOCOL_VERSION,
        proof=_proof(key, challenge.nonce, instance, challenge.instance),
        instance=instance,
    )
    writer.write(codec.encode(hello))
    reply = await _read_frame(reader)
    if reply.which() == "rejected":
        raise HandshakeError(reply.rejected)
    if reply.which() != "welcome":
        raise HandshakeError("malformed")
    return reply.welcome


async def _read_frame(reader: asyncio.StreamReader) -> codec.Envelope:
    """Read exactly one frame; the peer sends nothing more before it gets a reply."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            length = int.from_bytes(await reader.readexactly(4), "little")
            if not 8 <= length <= 4096:
                raise HandshakeError("malformed")
            return codec.decode(await reader.readexactly(length))
    except TimeoutError as error:
        raise HandshakeError("timeout") from error
    except (OSError, asyncio.IncompleteReadError) as error:
        raise HandshakeError("closed") from error
    except codec.FrameError as error:
        raise HandshakeError("malformed") from error


def _proof(key: str, nonce: bytes, from_instance: str, to_instance: str) -> bytes:
    text = b"\0".join((nonce, from_instance.encode(), to_instance.encode()))
    return hmac.digest(key.encode(), text, "sha256")
