"""TLS contexts and credentials from the files in the settings."""

import ssl

import grpc

from ..process.settings import SettingsError, TlsFiles


def server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return the TLS context of a port, or ``None`` without files.

    Raises
    ======
    SettingsError
        A file can't be read or is not a certificate or key.
    """
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f'tls: {files.certificate}, {files.key}: {error}',
            remedy='name readable PEM files that belong together',
        ) from error
    if files.client_ca is not None:
        context.load_verify_locations(files.client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return server credentials that require a client certificate.

    Raises
    ======
    SettingsError
        ``client_ca`` is not set.
    """
    return grpc.ssl_server_credentials(
        [(files.key.read_bytes(), files.certificate.read_bytes())],
        root_certificates=_peer_ca(files),
        require_client_auth=True,
    )


def peer_channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return the client credentials for calls to peers.

    Raises
    ======
    SettingsError
        ``client_ca`` is not set.
    """
    return grpc.ssl_channel_credentials(
        root_certificates=_peer_ca(files),
        private_key=files.key.read_bytes(),
        certificate_chain=files.certificate.read_bytes(),
    )


def _peer_ca(files: TlsFiles) -> bytes:
    if files.client_ca is None:
        raise SettingsError(
            'peers.tls.client_ca: not set: expected a CA certificate',
            remedy='peers use mutual TLS; name the authority that signs them',
        )
    return files.client_ca.read_bytes()
