"""The platform's wire names: header fields, paths, tables and orders."""

# Header fields.
ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'
DEADLINE_MS = 'X-Primroserudder-Deadline-Ms'
TENANT = 'X-Primroserudder-Tenant'
EXPECT_INSTANCE = 'X-Primroserudder-Expect-Instance'
EXPECT_VERSION = 'X-Primroserudder-Expect-Version'
PRIORITY_CLASS = 'X-Primroserudder-Priority-Class'
NOT_EXECUTED = 'X-Primroserudder-Not-Executed'
SEAL = 'X-Primroserudder-Response-Seal'
MODEL = 'X-Primroserudder-Model'
TOKEN_USAGE = 'X-Primroserudder-Token-Usage'
PREFIX_HASH = 'X-Primroserudder-Prefix-Hash'
LENGTH_HINT = 'X-Primroserudder-Length-Hint'
SERVER_LOAD = 'X-Primroserudder-Server-Load'
AT_SERVER = 'At-Server'
LEAVING = 'Server-Leaving'
LIMIT = 'Server-Limit'
INSTANCE = 'X-Primroserudder-Instance-Id'
RETRY_AFTER = 'Retry-After'
LAST_EVENT_ID = 'Last-Event-Id'
STORE_ERA = 'Store-Era'

# Paths of HTTP calls.
READY_PATH = '/api/readyz'
REPORT_PATH = '/api/report'
ORDER_PATH = '/api/order'
TRANSACTION_PATH = '/api/rows-tx'
ROWS_PATH = '/api/rows-get'
FEED_PATH = '/api/rows-feed'
PUT_OBJECT_PATH = '/api/blob-put/'
GET_OBJECT_PATH = '/api/blob-get/'

# Tables and keys that other programs of the platform write.
OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'
# The rest of the key is the name of a failure domain.
EVACUATION_PREFIX = 'evacuate/'
ENGINES_TABLE = 'servers'

# Operations and close modes of orders.
JOIN = 'join'
OPEN = 'open'
CLOSE = 'close'
LEAVE = 'leave'
# Loads a model onto the host, which the name of the operation doesn't show.
STAGE = 'Phase'
CLOSE_AFTER_WORK = 'queue'
CLOSE_AT_ONCE = 'shed'
