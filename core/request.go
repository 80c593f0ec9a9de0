package core

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
)

// Request is a completion that was read from a caller and checked.
type Request struct {
	ID        ID
	Workspace string
	// Weight is the workspace's share against others.
	Weight    int
	Profile   Profile
	Model     string
	Prompt    string
	MaxTokens int
	// Arrived and Deadline are instants of this process; a zero Deadline is
	// none.
	Arrived  clock.Millis
	Deadline clock.Millis
	// Digest identifies the content over all entries, for quarantine.
	Digest uint64
	// Chat says that the caller used the chat form.
	Chat bool
	// Opaque is set for a request that is passed on unread. Prompt is then
	// empty.
	Opaque *Opaque
}

// Try is one attempt of a request at the upstreams.
type Try struct {
	Request *Request
	Attempt Attempt
	// Prior is the text that the caller already has, from earlier attempts,
	// and Sent the count of its tokens. The answer goes on from there.
	Prior string
	Sent  int
}

// Export is the result of a prefill, waiting at its upstream for a decode
// upstream to fetch it.
type Export struct {
	Upstream string
	// Params is the engine's own description; it goes to the decode upstream
	// unread.
	Params json.RawMessage
	// Expires is an instant of this process.
	Expires clock.Millis
	// Tokens is the count of prompt tokens that were computed, not cached.
	Tokens int
}

// Token is one event of a decode stream.
type Token struct {
	ID      ID
	Attempt Attempt
	// Offset is the token's place in the whole answer, from zero.
	Offset int
	Text   string
	// Upstream is the decode upstream that gave the token.
	Upstream string
	// Finish is empty but for the last event, the end marker, which has no
	// text and whose Offset is the count of all tokens.
	Finish string
}

// Cancel is a request to free what an upstream holds for a request.
type Cancel struct {
	Upstream Upstream
	ID       ID
	// Attempt is the highest one that is cancelled.
	Attempt Attempt
	// Answered says that the upstream has answered the call that is
	// cancelled, so that it can't take it up after the cancel.
	Answered bool
}

// bytesPerToken is the customary estimate for western text where the
// engine's own tokenizer isn't at hand.
const bytesPerToken = 4

// TokenEstimate estimates the tokens of a text.
func TokenEstimate(s string) int {
	return (len(s) + bytesPerToken - 1) / bytesPerToken
}

// PieceTokens is the size of one piece of engine memory, in tokens.
const PieceTokens = 1024

// Pieces returns the pieces of engine memory that n tokens need.
func Pieces(n int) int {
	return (n + PieceTokens - 1) / PieceTokens
}

// BlockTokens is the size of one block of the prefix cache, in tokens.
const BlockTokens = 256

// maxBlocks bounds the blocks of one prompt: 64 thousand tokens.
const maxBlocks = 256

// Blocks returns the chained hashes of the prompt's full blocks: two prompts
// share their first n blocks if and only if the first n hashes are equal.
func Blocks(prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	n := min(len(prompt)/size, maxBlocks)
	blocks := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		// Writing to a hash never fails.
		_, _ = d.WriteString(prompt[i*size : (i+1)*size])
		blocks = append(blocks, d.Sum64())
	}
	return blocks
}

// Call is a call of a plain service, read from a caller and checked.
type Call struct {
	ID        ID
	Workspace string
	Service   string
	Method    string
	// Path is the path below the service, with a leading slash, and Query the
	// raw query.
	Path  string
	Query string
	// Header holds the headers that go to the service.
	Header http.Header
	Body   []byte
	// Key is the Idempotency-Key, empty for calls that may be repeated.
	Key string
	// Deadline is an instant of this process.
	Deadline clock.Millis
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}
