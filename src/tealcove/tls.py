"""The TLS contexts according to the settings."""

from __future__ import annotations

import ssl

from tealcove import errors, settings


def for_callers(found: settings.Settings) -> ssl.SSLContext | None:
    """Return the context of the HTTP listener, or None; raises SettingsError."""
    tls = found.http.tls
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except OSError as error:
        raise errors.SettingsError(
            f"http.tls: {tls.certificate} and {tls.key} can't be used: {error}",
            "Write the paths of a certificate and its key in PEM form.",
        ) from error
    return context


def for_platform(found: settings.Settings) -> ssl.SSLContext | None:
    """Return the context for calls to the platform, or None for the default."""
    if found.platform.ca is None:
        return None
    return ssl.create_default_context(cafile=found.platform.ca)
