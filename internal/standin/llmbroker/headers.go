package llmbroker

// Names of headers, in the form in which net/http keeps them. Source: PROTOCOL.md.
const (
	HeaderRequestID      = "X-Kestrelspread-Request-Id"
	HeaderDeadline       = "X-Kestrelspread-Deadline-Ms"
	HeaderExpectInstance = "X-Kestrelspread-Expect-Instance"
	HeaderTenant         = "X-Kestrelspread-Tenant-Id"
	HeaderModel          = "X-Kestrelspread-Model"
	HeaderTokenCount     = "X-Kestrelspread-Token-Count"
	HeaderPromptPrefix   = "X-Kestrelspread-Prompt-Prefix"
	HeaderSeal           = "X-Kestrelspread-Response-Seal"
	HeaderNotExecuted    = "X-Kestrelspread-Not-Executed"
	HeaderServerLoad     = "X-Kestrelspread-Server-Load"
	HeaderInstanceID     = "X-Kestrelspread-Instance-Id"
	HeaderExpectVersion  = "Expect-Version"
	HeaderVersions       = "Versions"
	HeaderSalt           = "Cache-Salt"
	HeaderFetch          = "Kv-Fetch"
	HeaderSave           = "Kv-Save"
	HeaderPriority       = "Priority"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderRetryAfter     = "Retry-After"
	headerWait           = "Wait-Ms"
)
