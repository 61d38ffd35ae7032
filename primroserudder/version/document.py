"""Data model of the configuration document and its validation."""

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
    """A configuration document is invalid; nothing was changed."""

    code = 'bad_configuration'
    status = 422
    ran = Ran.NO
    default_remedy = 'correct the document and apply it again'


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class Pool(_StrictModel):
    """A pool of upstream VMs of one kind."""

    honours_fencing: bool


class ModelDeployment(_StrictModel):
    """Groups of VMs that serve one version of a model."""

    kind: Literal['model']
    pool: Identifier
    model: str = Field(min_length=1)
    model_version: str = Field(min_length=1)
    group_size: int = Field(ge=1)
    groups_by_failure_domain: dict[Identifier, Annotated[int, Field(ge=0)]]
    adapters: list[str] = []
    costs: RepairCosts = RepairCosts()


class PlainEndpoint(_StrictModel):
    """One address of a plain service."""

    url: str = Field(pattern='^https?://')
    failure_domain: Identifier


class PlainDeployment(_StrictModel):
    """A plain HTTP service and the endpoints that serve it."""

    kind: Literal['plain']
    endpoints: list[PlainEndpoint] = Field(min_length=1)


Deployment = Annotated[
    ModelDeployment | PlainDeployment,
    Field(discriminator='kind'),
]


class ParameterSpec(_StrictModel):
    """A typed template parameter; it is required if it has no default."""

    type: Literal['string', 'integer', 'number', 'boolean']
    default: Parameter | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: list[Parameter] | None = None


class Template(_StrictModel):
    """A service definition with ``{"$param": "name"}`` placeholders."""

    parameters: dict[Identifier, ParameterSpec] = {}
    service: dict[str, JsonValue]


class KeyHash(_StrictModel):
    """The salted hash of a caller's API key."""

    salt: str = Field(min_length=8)
    sha256: str = Field(pattern=HEX_DIGEST)


class Binding(_StrictModel):
    """A service of a workspace: a template and its parameter values."""

    template: Identifier
    values: dict[str, Parameter] = {}


class Workspace(_StrictModel):
    """API keys by key id and services by name of one customer."""

    keys: dict[Identifier, KeyHash] = {}
    services: dict[Identifier, Binding] = {}


class Document(_StrictModel):
    """A whole configuration document."""

    format: Literal[1]
    pools: dict[Identifier, Pool] = {}
    deployments: dict[Identifier, Deployment] = {}
    templates: dict[Identifier, Template] = {}
    workspaces: dict[Identifier, Workspace] = {}


class Limits(_StrictModel):
    """Limits of one service of a workspace; ``None`` means no limit."""

    requests_per_s: float | None = Field(default=None, gt=0)
    tokens_per_s: float | None = Field(default=None, gt=0)
    concurrency: int | None = Field(default=None, ge=1)


class Service(_StrictModel):
    """A service of one workspace after its template is rendered."""

    deployment: Identifier
    limits: Limits = Limits()
    weight: float = Field(default=1, gt=0)
    priority: int = Field(default=0, ge=0, le=9)
    max_tokens: int = Field(default=1024, ge=1)
    adapter: str = ''
    non_idempotent_routes: list[str] = []


def parse_document(body: bytes, source: str = 'document') -> Document:
    """Parse and validate a configuration document.

    Raises
    ======
    ConfigurationError
        The document is invalid. The message names the source, the path, the
        value and the accepted values.
    """
    try:
        return Document.model_validate_json(body)
    except ValidationError as invalid:
        raise ConfigurationError(
            f'{source}: {describe(invalid)}',
        ) from invalid
