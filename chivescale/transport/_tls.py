"""TLS between the system's own processes."""

import ssl

from chivescale.settings import TlsSettings


def server_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of a server; None if TLS is off."""
    if not tls.api_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.api_certificate, tls.api_key)
    return context


def client_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of a client; None if TLS is off."""
    if not tls.api_certificate:
        return None
    return ssl.create_default_context(cafile=tls.api_ca)
