"""The configuration document and its checked form."""

from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    JsonValue,
    ValidationError,
)

from ..errors import Ran, RudderError
from ..process.settings import Identifier, describe
from .costs import RepairCosts

Parameter = str | int | float | bool
HEX_DIGEST = '^[0-9a-f]{64}$'


class ConfigurationError(RudderError):
    """A configuration document is not acceptable; nothing changed."""

    code = 'bad_configuration'
    status = 422
    ran = Ran.NO
    default_remedy = 'correct the document and apply it again'


class _Checked(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class Pool(_Checked):
    """Upstream VMs of one kind."""

    honours_fencing: bool


class ModelDeployment(_Checked):
    """Groups of VMs that serve one model."""

    kind: Literal['model']
    pool: Identifier
    model: str = Field(min_length=1)
    model_version: str = Field(min_length=1)
    group_size: int = Field(ge=1)
    groups_by_failure_domain: dict[Identifier, Annotated[int, Field(ge=0)]]
    adapters: list[str] = []
    costs: RepairCosts = RepairCosts()


class PlainEndpoint(_Checked):
    """One address of a plain service."""

    url: str = Field(pattern='^https?://')
    failure_domain: Identifier


class PlainDeployment(_Checked):
    """A plain HTTP service to which calls are routed."""

    kind: Literal['plain']
    endpoints: list[PlainEndpoint] = Field(min_length=1)


Deployment = Annotated[
    ModelDeployment | PlainDeployment,
    Field(discriminator='kind'),
]


class ParameterSpec(_Checked):
    """A typed parameter of a template; no default means required."""

    type: Literal['string', 'integer', 'number', 'boolean']
    default: Parameter | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: list[Parameter] | None = None


class Template(_Checked):
    """A service with parameters, written as ``{"$param": "name"}``."""

    parameters: dict[Identifier, ParameterSpec] = {}
    service: dict[str, JsonValue]


class KeyHash(_Checked):
    """A caller's key, kept as a salted hash."""

    salt: str = Field(min_length=8)
    sha256: str = Field(pattern=HEX_DIGEST)


class Binding(_Checked):
    """A service of a workspace: a template and its values."""

    template: Identifier
    values: dict[str, Parameter] = {}


class Workspace(_Checked):
    """A customer's keys, by key id, and its services, by name."""

    keys: dict[Identifier, KeyHash] = {}
    services: dict[Identifier, Binding] = {}


class Document(_Checked):
    """A whole configuration document."""

    format: Literal[1]
    pools: dict[Identifier, Pool] = {}
    deployments: dict[Identifier, Deployment] = {}
    templates: dict[Identifier, Template] = {}
    workspaces: dict[Identifier, Workspace] = {}


class Limits(_Checked):
    """Limits of a workspace's service; ``None`` means no limit."""

    requests_per_s: float | None = Field(default=None, gt=0)
    tokens_per_s: float | None = Field(default=None, gt=0)
    concurrency: int | None = Field(default=None, ge=1)


class Service(_Checked):
    """A rendered service of one workspace."""

    deployment: Identifier
    limits: Limits = Limits()
    weight: float = Field(default=1, gt=0)
    priority: int = Field(default=0, ge=0, le=9)
    max_tokens: int = Field(default=1024, ge=1)
    adapter: str = ''
    non_idempotent_routes: list[str] = []


def parse_document(body: bytes, source: str = 'document') -> Document:
    """Return the checked document.

    Raises
    ======
    ConfigurationError
        The message names the file, the path, the value and what is accepted.
    """
    try:
        return Document.model_validate_json(body)
    except ValidationError as invalid:
        raise ConfigurationError(
            f'{source}: {describe(invalid)}',
        ) from invalid
