"""Checks the files and folders that settings name, before startup."""

import os
import ssl

from amaranthring import errors
from amaranthring.settings import models
from amaranthring.settings import secrets


def check_files(settings: models.Settings, role: str) -> None:
    """Check the secrets, folders and certificates that `settings` names.

    Raises
    ------
    errors.SettingsError
        With all faults, one per line.
    """
    checks = [
        lambda: secrets.read_keys(settings.fleet.keys_file),
        lambda: _check_optional_keys(settings.fleet.targets_key_file),
        lambda: _check_optional_keys(settings.fleet.resume_key_file),
        lambda: _check_is_listed(settings, role),
        lambda: _check_data_folder(settings, role),
    ]
    if settings.fleet.operators_file:
        checks.append(
            lambda: secrets.read_secrets(settings.fleet.operators_file)
        )
    listen = settings.listen
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
        If only one of the two files is named, or they cannot be loaded.
    """
    if not certificate and not key:
        return None
    if not certificate or not key:
        raise errors.SettingsError(
            "[listen] certificate and key must be set together",
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


def _check_optional_keys(path: str) -> None:
    if path:
        secrets.read_keys(path)


def _check_is_listed(settings: models.Settings, role: str) -> None:
    peers = settings.routers() if role == "router" else settings.keepers()
    names = [peer.name for peer in peers]
    if settings.process.name not in names:
        raise errors.SettingsError(
            f"[process] name is not among the {role}s of [fleet]",
            given=settings.process.name,
            expected=", ".join(names) or "at least one line",
        )


def _check_data_folder(settings: models.Settings, role: str) -> None:
    folder = settings.process.data_folder
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
            f"[process] data_folder {folder} cannot be created",
            given=error.strerror,
            expected="a folder that this process can write to",
        ) from error
    if not os.access(folder, os.W_OK):
        raise errors.SettingsError(
            f"[process] data_folder {folder} is not writable",
            given="no write permission",
            expected="a folder that this process can write to",
        )
