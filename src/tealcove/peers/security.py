"""CURVE encryption and authentication between instances."""

from __future__ import annotations

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from tealcove import settings


class Security:
    """The keys of this instance, and the public keys of its peers.

    All instances listen with the key pair of the deployment, so a link needs no other
    key than the instance's own. The public key alone gives no access: a peer must prove
    that it holds the secret key of one of the allowed public keys.
    """

    def __init__(self, keys: settings.Curve) -> None:
        self.public_key = str(keys.public_key).encode()
        self.secret_key = str(keys.secret_key).encode()
        self.allowed = frozenset(str(key).encode() for key in keys.allowed)
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None

    def start(self, context: zmq.asyncio.Context) -> None:
        """Start authenticating connections; call before the listener is bound."""
        self.authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
        self.authenticator.start()
        self.authenticator.configure_curve_callback(credentials_provider=self)

    def stop(self) -> None:
        """Stop authenticating."""
        if self.authenticator is not None:
            self.authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer may connect; pyzmq passes its key in Z85."""
        return key in self.allowed

    def secure_listener(self, socket: zmq.Socket) -> None:
        """Make the socket accept only authenticated, encrypted connections."""
        socket.curve_publickey = self.public_key
        socket.curve_secretkey = self.secret_key
        socket.curve_server = True

    def secure_link(self, socket: zmq.Socket) -> None:
        """Make the socket connect only to listeners with the deployment's key."""
        socket.curve_publickey = self.public_key
        socket.curve_secretkey = self.secret_key
        socket.curve_serverkey = self.public_key
