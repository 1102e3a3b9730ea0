"""Checking what a settings file points to, before a process starts."""

import os
import ssl

from amaranthring import errors
from amaranthring.settings import models
from amaranthring.settings import secrets


def check_files(made: models.Settings, role: str) -> None:
    """Check the secrets, folders and certificates that `made` names.

    Raises
    ------
    errors.SettingsError
        With every fault, one a line.
    """
    checks = [
        lambda: secrets.read_keys(made.fleet.keys_file),
        lambda: _optional_keys(made.fleet.targets_key_file),
        lambda: _optional_keys(made.fleet.resume_key_file),
        lambda: _listed(made, role),
        lambda: _data_folder(made, role),
    ]
    if made.fleet.operators_file:
        checks.append(lambda: secrets.read_secrets(made.fleet.operators_file))
    listen = made.listen
    for certificate, key in (
        (listen.certificate_file, listen.certificate_key_file),
        (
            listen.internal_certificate_file,
            listen.internal_certificate_key_file,
        ),
    ):
        checks.append(lambda c=certificate, k=key: load_tls_context(c, k))
    faults = []
    for check in checks:
        try:
            check()
        except errors.SettingsError as error:
            faults.append(str(error))
    if faults:
        raise errors.SettingsError("\n".join(faults))


def load_tls_context(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None without a certificate.

    Raises
    ------
    errors.SettingsError
        If only one of both files is named or they do not fit.
    """
    if not certificate and not key:
        return None
    if not certificate or not key:
        raise errors.SettingsError(
            "[listen] a certificate and its key go together",
            given=certificate or key,
            expected="both files or neither",
        )
    secrets.check_file_mode(key)
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            f"{certificate}: certificate and key cannot be loaded",
            given=str(error),
            expected="a PEM chain and its private key",
        ) from error
    return context


def _optional_keys(path: str) -> None:
    if path:
        secrets.read_keys(path)


def _listed(made: models.Settings, role: str) -> None:
    peers = made.routers() if role == "router" else made.keepers()
    names = [peer.name for peer in peers]
    if made.process.name not in names:
        raise errors.SettingsError(
            f"[process] name is not among the {role}s of [fleet]",
            given=made.process.name,
            expected=", ".join(names) or "at least one line",
        )


def _data_folder(made: models.Settings, role: str) -> None:
    folder = made.process.data_folder
    if not folder:
        if role == "keeper":
            raise errors.SettingsError(
                "[process] data_folder is missing",
                given="",
                expected="a folder on a disk of this VM",
            )
        return
    try:
        os.makedirs(folder, exist_ok=True)
    except OSError as error:
        raise errors.SettingsError(
            f"[process] data_folder {folder} cannot be made",
            given=error.strerror,
            expected="a folder this process may write",
        ) from error
    if not os.access(folder, os.W_OK):
        raise errors.SettingsError(
            f"[process] data_folder {folder} is not writable",
            given="no write permission",
            expected="a folder this process may write",
        )
