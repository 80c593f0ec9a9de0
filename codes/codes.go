package codes

import "net/http"

// Run is whether an upstream ran a request, so that a caller can decide whether
// to repeat it.
type Run string

// The values of Run.
const (
	// NotRun guarantees that no upstream ran the request.
	NotRun Run = "not_run"
	// Ran means that an upstream ran the request, completely or in part.
	Ran Run = "ran"
	// Unknown means that an upstream may have run the request.
	Unknown Run = "unknown"
)

// Code is a numbered result. The first two digits group the codes by area:
// 10xx the caller, 12xx capacity, 13xx orders that may not be repeated, 14xx
// upstreams, 15xx this entry and the platform, 16xx operators.
type Code int

// The result codes. A number is never reused with another meaning.
const (
	BadRequest      Code = 1001
	TooLarge        Code = 1002
	Unauthorized    Code = 1003
	UnknownModel    Code = 1004
	UnknownProfile  Code = 1005
	UnknownService  Code = 1006
	NotFound        Code = 1007
	MethodDenied    Code = 1008
	BadToken        Code = 1009
	Superseded      Code = 1010
	CallerGone      Code = 1011
	SlowInput       Code = 1012
	QueueFull       Code = 1201
	DeadlineUnmet   Code = 1202
	DeadlinePast    Code = 1203
	NoMemory        Code = 1204
	RateLimited     Code = 1205
	NoUpstream      Code = 1206
	Quarantined     Code = 1207
	TooLong         Code = 1208
	PartQuarantined Code = 1209
	InputFull       Code = 1210
	KeyMissing      Code = 1301
	KeyReused       Code = 1302
	InProgress      Code = 1303
	OutcomeUnknown  Code = 1304
	ClaimUnsure     Code = 1305
	Abandoned       Code = 1306
	UpstreamLost    Code = 1401
	UpstreamRefused Code = 1402
	TransferFailed  Code = 1403
	ExportExpired   Code = 1404
	BudgetSpent     Code = 1405
	WrongAnswer     Code = 1406
	UpstreamTimeout Code = 1407
	UpstreamFailed  Code = 1408
	UpstreamDown    Code = 1409
	UpstreamEndless Code = 1410
	Leaving         Code = 1501
	NoDocument      Code = 1502
	CutOff          Code = 1503
	PlatformDown    Code = 1504
	Internal        Code = 1505
	HistoryLost     Code = 1506
	Conflict        Code = 1601
	BadDocument     Code = 1602
	AlreadySettled  Code = 1603
	PublishUnsure   Code = 1604
	LeaseLost       Code = 1605
	OrderStale      Code = 1606
)

// Info describes a code.
type Info struct {
	Name string
	// Status is the HTTP status sent with the code.
	Status int
	// Run is the default value; an [Error] can override it.
	Run Run
	// Meaning is a one-sentence description for docs/CODES.md.
	Meaning string
}

// statusCallerGone is the customary status for a caller that disconnected (as
// in nginx). It appears only in logs, since the caller can't receive it.
const statusCallerGone = 499

// Table maps each code to its description.
var Table = map[Code]Info{
	BadRequest:      {"bad_request", http.StatusBadRequest, NotRun, "The request is malformed; the message names the field."},
	TooLarge:        {"too_large", http.StatusRequestEntityTooLarge, NotRun, "The body or a header is over its limit."},
	Unauthorized:    {"unauthorized", http.StatusUnauthorized, NotRun, "The key or token is missing or not valid."},
	UnknownModel:    {"unknown_model", http.StatusNotFound, NotRun, "No upstream in the published document serves the model."},
	UnknownProfile:  {"unknown_profile", http.StatusBadRequest, NotRun, "The published document has no profile of this name."},
	UnknownService:  {"unknown_service", http.StatusNotFound, NotRun, "No published route matches the service and path."},
	NotFound:        {"not_found", http.StatusNotFound, NotRun, "Nothing exists at this path or under this name."},
	MethodDenied:    {"method_denied", http.StatusMethodNotAllowed, NotRun, "The path does not take this method."},
	BadToken:        {"bad_token", http.StatusForbidden, NotRun, "The resume token is not valid for this request and workspace."},
	Superseded:      {"superseded", http.StatusConflict, Ran, "A newer connection took over the stream."},
	CallerGone:      {"caller_gone", statusCallerGone, Unknown, "The caller closed its connection before the answer was complete."},
	SlowInput:       {"slow_input", http.StatusRequestTimeout, NotRun, "The request did not arrive in full within its time limit."},
	QueueFull:       {"queue_full", http.StatusTooManyRequests, NotRun, "The wait queue is full."},
	DeadlineUnmet:   {"deadline_unmet", http.StatusServiceUnavailable, NotRun, "The predicted time to first token exceeds what the profile allows."},
	DeadlinePast:    {"deadline_past", http.StatusGatewayTimeout, NotRun, "The deadline passed before the request was sent to an upstream."},
	NoMemory:        {"no_memory", http.StatusServiceUnavailable, NotRun, "No decode upstream has enough free memory in time."},
	RateLimited:     {"rate_limited", http.StatusTooManyRequests, NotRun, "The workspace is over its share."},
	NoUpstream:      {"no_upstream", http.StatusServiceUnavailable, NotRun, "No upstream that could serve the request takes new work."},
	Quarantined:     {"quarantined", http.StatusUnprocessableEntity, NotRun, "The request crashed upstreams before and is rejected until an operator lifts its quarantine."},
	PartQuarantined: {"part_quarantined", http.StatusServiceUnavailable, NotRun, "Requests with the same part of the prompt crash upstreams and are rejected until its quarantine ends."},
	TooLong:         {"too_long", http.StatusBadRequest, NotRun, "Prompt and answer together exceed the memory of every decode upstream."},
	InputFull:       {"input_full", http.StatusServiceUnavailable, NotRun, "This entry holds too many bytes for other requests to take in the body of this one."},
	KeyMissing:      {"key_missing", http.StatusBadRequest, NotRun, "The call may not be repeated and needs an Idempotency-Key."},
	KeyReused:       {"key_reused", http.StatusUnprocessableEntity, NotRun, "The Idempotency-Key was used with another body; this body was not run."},
	InProgress:      {"in_progress", http.StatusConflict, Unknown, "An order with this key is in progress; retry later."},
	OutcomeUnknown:  {"outcome_unknown", http.StatusConflict, Unknown, "The order was sent and its outcome is unknown; an operator must settle it."},
	ClaimUnsure:     {"claim_unsure", http.StatusServiceUnavailable, NotRun, "The claim could not be confirmed at the platform; the order was not sent."},
	Abandoned:       {"abandoned", http.StatusServiceUnavailable, NotRun, "The claim was withdrawn before the order was sent; it may be sent again."},
	UpstreamLost:    {"upstream_lost", http.StatusBadGateway, Unknown, "The connection to the upstream broke before its answer was complete."},
	UpstreamRefused: {"upstream_refused", http.StatusBadGateway, NotRun, "The upstream refused the connection or the request."},
	TransferFailed:  {"transfer_failed", http.StatusBadGateway, Ran, "The KV cache could not be moved to a decode upstream."},
	ExportExpired:   {"export_expired", http.StatusBadGateway, Ran, "The result of the prefill expired before a decode upstream fetched it."},
	BudgetSpent:     {"budget_spent", http.StatusServiceUnavailable, Ran, "The request failed and the retry budget is exhausted."},
	WrongAnswer:     {"wrong_answer", http.StatusBadGateway, Unknown, "The upstream's answer belongs to another request or attempt and was dropped."},
	UpstreamTimeout: {"upstream_timeout", http.StatusGatewayTimeout, Unknown, "The upstream did not answer within the deadline."},
	UpstreamFailed:  {"upstream_failed", http.StatusBadGateway, Ran, "The upstream answered with a failure."},
	UpstreamDown:    {"upstream_down", http.StatusBadGateway, NotRun, "No connection to the upstream could be established."},
	UpstreamEndless: {"upstream_endless", http.StatusBadGateway, Unknown, "The upstream's answer exceeded a bound on its size and was cut."},
	Leaving:         {"leaving", http.StatusServiceUnavailable, NotRun, "This entry is stopping; fetch the addresses again."},
	NoDocument:      {"no_document", http.StatusServiceUnavailable, NotRun, "This entry has no published document yet."},
	CutOff:          {"cut_off", http.StatusServiceUnavailable, NotRun, "This entry can reach neither the platform nor its peers."},
	PlatformDown:    {"platform_down", http.StatusServiceUnavailable, NotRun, "The platform's table does not answer and the call needs it."},
	Internal:        {"internal", http.StatusInternalServerError, Unknown, "An internal error of the router; the log has the cause."},
	HistoryLost:     {"history_lost", http.StatusServiceUnavailable, Unknown, "The platform no longer has the requested changes; the whole table is read again."},
	Conflict:        {"conflict", http.StatusConflict, NotRun, "Another operator's change came first; the message has the current version."},
	BadDocument:     {"bad_document", http.StatusBadRequest, NotRun, "The document is invalid; the message lists every fault."},
	AlreadySettled:  {"already_settled", http.StatusConflict, NotRun, "The order's outcome is already known or settled."},
	PublishUnsure:   {"publish_unsure", http.StatusServiceUnavailable, Unknown, "The answer to the write was lost, and its outcome could not be read back."},
	LeaseLost:       {"lease_lost", http.StatusConflict, NotRun, "The lease expired or has another holder."},
	OrderStale:      {"order_stale", http.StatusConflict, NotRun, "The engine has seen a newer fencing number."},
}

// Info returns the description of c. An unknown code has that of [Internal].
func (c Code) Info() Info {
	if info, ok := Table[c]; ok {
		return info
	}
	return Table[Internal]
}

// String returns the name of the code, such as "queue_full".
func (c Code) String() string { return c.Info().Name }
