package core

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
)

// Request is a validated completion request of a caller.
type Request struct {
	ID        ID
	Workspace string
	// Weight is the fair-share weight of the workspace.
	Weight int
	// Limit is the limit of the workspace, and Cost what the request uses of it.
	Limit Limit
	Cost  float64
	// Profile holds the priority that is in force for the request, that of the workspace
	// if it has one.
	Profile   Profile
	Model     string
	Prompt    string
	MaxTokens int
	// Arrived and Deadline are instants on the monotonic clock of this
	// process; a zero Deadline means none.
	Arrived  clock.Millis
	Deadline clock.Millis
	// Queued is how long the request waited to be read before Arrived, at least.
	Queued clock.Millis
	// Digest is a hash of the content, equal on all entries. The quarantine
	// identifies requests by it.
	Digest uint64
	// Chat means that the caller used the chat API.
	Chat bool
	// Opaque is set for a request that is forwarded unchanged. Prompt is then
	// empty.
	Opaque *Opaque
	// Trials tells for what this request was permitted as a trial.
	Trials Trials
}

// Trials are the reasons for which a request is sent as a trial: parts of its prompt, or
// the whole request, that may crash upstreams.
type Trials struct {
	Parts, Whole bool
}

// Try is one attempt to run a request on the upstreams.
type Try struct {
	Request *Request
	Attempt Attempt
	// SentText is the text that earlier attempts have already sent to the
	// caller, and SentTokens its number of tokens. This attempt continues
	// after it.
	SentText   string
	SentTokens int
}

// Export is the KV cache that a prefill computed, kept by its upstream until a
// decode upstream fetches it.
type Export struct {
	Upstream string
	// Params describes the export in the engine's own format. It is passed to
	// the decode upstream unchanged.
	Params json.RawMessage
	// Expires is an instant on the monotonic clock of this process.
	Expires clock.Millis
	// Tokens is the number of prompt tokens that were computed; cached tokens
	// don't count.
	Tokens int
}

// Token is one event of a decode stream.
type Token struct {
	ID      ID
	Attempt Attempt
	// Offset is the index of the token in the whole answer, from zero.
	Offset int
	Text   string
	// Upstream is the decode upstream that produced the token.
	Upstream string
	// Finish is the finish reason. It is set only in the last event, which
	// ends the stream, has no text, and has the total number of tokens as its
	// Offset.
	Finish string
}

// Cancel is an order to an upstream to stop a request and to free its memory.
type Cancel struct {
	Upstream Upstream
	ID       ID
	// Attempt is the highest attempt to cancel.
	Attempt Attempt
	// Answered means that the upstream has answered the cancelled call, so the
	// call can't start after the cancel.
	Answered bool
}

// bytesPerToken is the usual estimate for text in Western languages, used
// since the engine's tokenizer isn't available.
const bytesPerToken = 4

// TokenEstimate estimates the number of tokens of a text from its bytes.
func TokenEstimate(s string) int {
	return (len(s) + bytesPerToken - 1) / bytesPerToken
}

// PieceTokens is the size of one piece of KV cache, in tokens.
const PieceTokens = 1024

// Pieces returns the number of pieces of KV cache that n tokens need.
func Pieces(n int) int {
	return (n + PieceTokens - 1) / PieceTokens
}

// BlockTokens is the size of one block of the prefix cache, in tokens.
const BlockTokens = 256

// maxBlocks is the maximum number of blocks hashed per prompt: 64 thousand
// tokens.
const maxBlocks = 256

// Blocks returns a hash for each full block of the prompt. Each hash covers
// all blocks up to its own: two prompts share their first n blocks if and only
// if their first n hashes are equal.
func Blocks(prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	n := min(len(prompt)/size, maxBlocks)
	blocks := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		// Write to a hash never returns an error.
		_, _ = d.WriteString(prompt[i*size : (i+1)*size])
		blocks = append(blocks, d.Sum64())
	}
	return blocks
}

// Call is a validated call of a caller to a plain service.
type Call struct {
	ID        ID
	Workspace string
	Service   string
	Method    string
	// Path is the path without the service name, with a leading slash, and
	// Query the raw query.
	Path  string
	Query string
	// Header holds the headers to send to the service.
	Header http.Header
	Body   []byte
	// IdempotencyKey is the Idempotency-Key header; empty for calls that may
	// be repeated.
	IdempotencyKey string
	// Deadline is an instant on the monotonic clock of this process.
	Deadline clock.Millis
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}
