"""Decodes and validates the bodies and headers that operators send.

All faults of a body are reported together, each with the field, the value
given and what was expected.
"""

import json
import re
import typing as t

import pydantic

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import text as texts
from amaranthring.keepers import commands
from amaranthring.settings import models

COMMAND_ID_HEADER = "Amaranthring-Command-Id"
MAX_FAULTS = 50

Name = t.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:\-]{0,63}$")
]
# For example "organisation/model@version+adapter".
ModelName = t.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/@+\-]{0,127}$")
]
Hash = t.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Seconds = t.Annotated[float, pydantic.Field(gt=0, le=3600)]
Method = t.Literal["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]
Role = t.Literal["mixed", "prefill", "decode"]
COMMAND_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:\-]{8,64}$")


class Model(pydantic.BaseModel):
    """Base of the models; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False)


class ClassModel(Model):
    """See :class:`fleet.ClassPolicy`."""

    priority: int = pydantic.Field(1, ge=0, le=9)
    deadline_seconds: Seconds = 30.0
    queue_most: int = pydantic.Field(256, ge=0, le=100_000)


class AccountPolicyModel(Model):
    """See :class:`fleet.AccountPolicy`."""

    weight: float = pydantic.Field(1.0, gt=0, le=1000)
    rate_per_second: float = pydantic.Field(0.0, ge=0, le=1_000_000)
    burst: float = pydantic.Field(50.0, ge=1, le=1_000_000)


class ServiceModel(Model):
    """See :class:`fleet.ServicePolicy`."""

    idempotent_methods: list[Method] = ["GET", "HEAD", "OPTIONS"]
    timeout_seconds: Seconds = 10.0


class PresetModel(Model):
    """See :class:`fleet.Preset`."""

    load_bound: float = pydantic.Field(1.25, gt=1, le=10)
    retry_budget: float = pydantic.Field(0.1, ge=0, le=1)
    first_token_seconds: Seconds = 10.0
    between_tokens_seconds: Seconds = 5.0
    drain_seconds: Seconds = 30.0
    probe_per_second: float = pydantic.Field(1.0, ge=0, le=100)
    lease_seconds: float = pydantic.Field(3.0, ge=0.5, le=60)
    classes: dict[Name, ClassModel] = pydantic.Field({}, max_length=64)
    accounts: dict[Name, AccountPolicyModel] = pydantic.Field(
        {}, max_length=10_000
    )
    services: dict[Name, ServiceModel] = pydantic.Field({}, max_length=256)
    desired_models: dict[
        ModelName, t.Annotated[int, pydantic.Field(ge=0, le=10_000)]
    ] = pydantic.Field({}, max_length=256)
    desired_roles: dict[Name, Role] = pydantic.Field({}, max_length=10_000)


class AccountModel(Model):
    """See :class:`fleet.Account`."""

    token_hashes: list[Hash] = pydantic.Field([], max_length=2)
    default_class: Name = "interactive"


class BootstrapModel(Model):
    """The initial configuration."""

    in_force: Name = "ordinary"
    presets: dict[Name, PresetModel]
    accounts: dict[Name, AccountModel] = {}

    @pydantic.model_validator(mode="after")
    def names_in_force(self):
        """Check that the preset in force is among the presets."""
        if self.in_force not in self.presets:
            raise ValueError(
                f"in_force must name one of the presets {sorted(self.presets)}"
            )
        return self


class SwitchModel(Model):
    """Body of a switch to another preset."""

    preset: Name


class RestoreModel(Model):
    """Body of a restore of an earlier revision."""

    revision: int = pydantic.Field(ge=1)
    preset: Name | t.Literal[""] = ""


class DrainModel(Model):
    """Body of a request to drain a target."""

    reason: str = pydantic.Field("", max_length=200)


class KeeperModel(Model):
    """Body of a request to add or remove a keeper."""

    name: Name
    data_centre: Name | t.Literal[""] = ""
    address: models.Address | t.Literal[""] = ""


NAME_ADAPTER = pydantic.TypeAdapter(Name)


def _validated(validate: t.Callable[[], t.Any]) -> t.Any:
    try:
        return validate()
    except pydantic.ValidationError as error:
        faults = [format_fault(fault) for fault in error.errors()]
        more = len(faults) - MAX_FAULTS
        if more > 0:
            faults = [*faults[:MAX_FAULTS], f"and {more} more"]
        raise errors.BadRequestError("\n".join(faults)) from error


def format_fault(fault: t.Any) -> str:
    """Return an error of pydantic as one line."""
    field = ".".join(str(part) for part in fault["loc"]) or "body"
    if fault["type"] == "missing":
        return f"{field}: missing"
    given = str(fault["input"])[:80]
    return f"{field}: given {given!r}, expected: {fault['msg']}"


def parse_json_body(body: bytes) -> t.Any:
    """Return the JSON object in `body`; an empty body is an empty object.

    Raises
    ------
    errors.BadRequestError
        If it is not a JSON object.
    """
    try:
        decoded = json.loads(body or b"{}")
        # What cannot be encoded again can be neither proposed nor stored.
        json.dumps(decoded, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise errors.BadRequestError(
            "body is not JSON", given=str(error), expected="a JSON object"
        ) from error
    if not isinstance(decoded, dict):
        raise errors.BadRequestError(
            "body", given=type(decoded).__name__, expected="a JSON object"
        )
    return decoded


def validate(kind: type[Model], raw: t.Any) -> t.Any:
    """Return `raw` validated as `kind`.

    Raises
    ------
    errors.BadRequestError
        With all faults, one per line.
    """
    return _validated(lambda: kind.model_validate(raw))


def validate_name(text: str) -> str:
    """Return `text` if it may name a preset, account or target.

    Raises
    ------
    errors.BadRequestError
        If it is malformed.
    """
    return _validated(lambda: NAME_ADAPTER.validate_python(text))


def parse_preset(preset_name: str, raw: t.Any) -> fleet.Preset:
    """Return the preset that `raw` describes."""
    model = validate(PresetModel, raw)
    return _preset(validate_name(preset_name), model)


def parse_account(account_name: str, raw: t.Any) -> fleet.Account:
    """Return the client account that `raw` describes.

    ``tokens`` may be given instead of ``token_hashes``. They are hashed
    here, so that no token is written to the keepers' log.
    """
    if "tokens" in raw and "token_hashes" not in raw:
        raw = dict(raw)
        tokens = raw.pop("tokens")
        if not isinstance(tokens, list) or not all(
            isinstance(token, str)
            and len(token) >= 16
            and texts.can_be_header(token)
            for token in tokens
        ):
            raise errors.BadRequestError(
                "tokens",
                given="other",
                expected="a list of strings of 16 characters or more, without"
                " blanks around them and control characters",
            )
        raw["token_hashes"] = [hashing.token_hash(token) for token in tokens]
    model = validate(AccountModel, raw)
    return fleet.Account(validate_name(account_name), **model.model_dump())


def check_tokens(
    account: fleet.Account, others: t.Iterable[fleet.Account]
) -> None:
    """Check that no other account has a token of `account`.

    Callers are known by their token alone.

    Raises
    ------
    errors.BadRequestError
        If one has.
    """
    own = set(account.token_hashes)
    for other in others:
        if other.name != account.name and own & set(other.token_hashes):
            raise errors.BadRequestError(
                f"tokens of {account.name}",
                given=f"one that {other.name} has",
                expected="tokens that no other account has",
            )


def parse_bootstrap(raw: t.Any) -> commands.Bootstrap:
    """Return the initial configuration that `raw` describes."""
    model = validate(BootstrapModel, raw)
    accounts = [
        fleet.Account(n, **account.model_dump())
        for n, account in model.accounts.items()
    ]
    for account in accounts:
        check_tokens(account, accounts)
    return commands.Bootstrap(
        model.in_force,
        [_preset(n, preset) for n, preset in model.presets.items()],
        accounts,
    )


def _preset(preset_name: str, model: PresetModel) -> fleet.Preset:
    own_values = model.model_dump(
        exclude={"classes", "accounts", "services"},
    )
    preset = fleet.Preset(preset_name, **own_values)
    for n, policy in model.classes.items():
        preset.classes[n] = fleet.ClassPolicy(**policy.model_dump())
    for n, policy in model.accounts.items():
        preset.accounts[n] = fleet.AccountPolicy(**policy.model_dump())
    for n, policy in model.services.items():
        preset.services[n] = fleet.ServicePolicy(**policy.model_dump())
    return preset


def parse_if_match(header: str | None) -> int:
    """Return the revision in an ``If-Match`` header.

    Raises
    ------
    errors.PreconditionMissingError
        If the header is missing.
    errors.BadRequestError
        If it is not a revision number.
    """
    if header is None:
        raise errors.PreconditionMissingError(
            "If-Match is missing",
            given="no If-Match",
            expected="the revision that the change is based on",
        )
    text = header.strip().strip('"')
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise errors.BadRequestError(
            "If-Match", given=header[:80], expected="one revision number"
        )
    return int(text)


def parse_command_id(header: str | None) -> str:
    """Return the id in an ``Amaranthring-Command-Id`` header.

    Raises
    ------
    errors.BadRequestError
        If it is missing or malformed.
    """
    if header is None or not COMMAND_ID_PATTERN.match(header):
        raise errors.BadRequestError(
            COMMAND_ID_HEADER,
            given=None if header is None else header[:80],
            expected="8 to 64 of A-Z a-z 0-9 . _ : -",
        )
    return header
