package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/fault"
	"lacewinghook.example/lacewinghook/reply"
)

// transfer holds the kv_transfer_params of a request, in the form that vLLM uses
// for disaggregated prefill.
type transfer struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// Expires is the remaining time in milliseconds for which the export is kept.
	Expires clock.Millis `json:"expires,omitempty"`
}

// export is the KV cache of a prefilled prompt, held until a decode engine
// fetches it, a cancellation drops it or it expires.
type export struct {
	id      string
	owner   string
	attempt core.Attempt
	// start is the instant at which the prompt was computed.
	start  clock.Millis
	tokens int
	pieces int
}

// prefillQueue makes an engine compute one prompt at a time.
type prefillQueue struct {
	mu sync.Mutex
	// tokens is the number of prompt tokens queued or being computed.
	tokens int
	// slot has a capacity of one and is full while a prompt is being computed.
	slot chan struct{}
}

// acquire waits until the prompt may be computed, or returns ctx's error.
func (q *prefillQueue) acquire(ctx context.Context, tokens int) error {
	q.mu.Lock()
	if q.slot == nil {
		q.slot = make(chan struct{}, 1)
	}
	q.tokens += tokens
	slot := q.slot
	q.mu.Unlock()
	select {
	case slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		q.subtractTokens(tokens)
		return ctx.Err()
	}
}

// subtractTokens removes the tokens of a computed or cancelled prompt from the
// count.
func (q *prefillQueue) subtractTokens(tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens -= tokens
}

// release ends the computation of a prompt and lets the next one start.
func (q *prefillQueue) release(tokens int) {
	q.subtractTokens(tokens)
	<-q.slot
}

// queuedTokens returns the number of prompt tokens queued or being computed.
func (q *prefillQueue) queuedTokens() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tokens
}

// prompt is a prompt that is queued or being computed.
type prompt struct {
	owner   string
	attempt core.Attempt
	// start is the instant of the request's arrival.
	start  clock.Millis
	cancel context.CancelFunc
}

// prefill computes a prompt and keeps the result for a decode engine. The
// computation continues if the client disconnects, until it is cancelled.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, c completion) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	p := &prompt{owner: c.owner, attempt: c.attempt, start: e.Clock.Now(), cancel: cancel}
	e.prompts.Set(c.id, p)
	exp, computed := e.createExport(ctx, c)
	e.prompts.Update(c.id, func(current *prompt, ok bool) (*prompt, bool) { return current, ok && current != p })
	if exp == nil {
		e.Counters.WastedTokens.Add(int64(computed))
		writeError(w, http.StatusConflict, "cancelled", "the request was cancelled")
		return
	}
	if e.Faults.Consume(func(f *fault.Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	host, port := localAddr(r)
	id, attempt := e.Faults.AnswerID(c.id, c.attempt)
	reply.JSON(w, http.StatusOK, prefillResult{
		ID:       id,
		Attempt:  attempt,
		Usage:    usage{PromptTokens: exp.tokens, CachedTokens: exp.tokens - computed},
		Transfer: &transfer{DoRemotePrefill: true, RemoteEngineID: e.Name, RemoteHost: host, RemotePort: port, RemoteRequestID: id, Expires: e.exportTTL()},
	})
}

// createExport computes a prompt and holds its KV cache until it is fetched,
// cancelled or expired. It returns no export if ctx ends or the engine crashes
// first, and in any case the number of tokens computed.
func (e *Engine) createExport(ctx context.Context, c completion) (exp *export, computed int) {
	tokens := core.TokenEstimate(c.Prompt)
	pieces := core.Pieces(tokens)
	boot, _ := e.process.current()
	if e.memory.Acquire(ctx, pieces, c.Priority, e.pieces()) != nil {
		return nil, 0
	}
	computed, err := e.computePrompt(ctx, c.Prompt, tokens)
	if current, _ := e.process.current(); err != nil || current != boot {
		e.memory.Release(pieces, e.pieces())
		return nil, computed
	}
	exp = &export{id: c.id, owner: c.owner, attempt: c.attempt, start: e.Clock.Now(), tokens: tokens, pieces: pieces}
	if old, ok := e.exports.Get(exp.id); ok {
		e.dropExport(old)
	}
	e.exports.Set(exp.id, exp)
	e.Clock.AfterFunc(e.exportTTL(), func() { e.expireExport(exp) })
	e.Counters.Prefills.Add(1)
	return exp, computed
}

// computePrompt sleeps for the time that the prompt's uncached tokens take, and
// returns their number.
func (e *Engine) computePrompt(ctx context.Context, prompt string, tokens int) (int, error) {
	if err := e.prefillQueue.acquire(ctx, tokens); err != nil {
		return 0, err
	}
	defer e.prefillQueue.release(tokens)
	blocks := core.Blocks(prompt)
	computed := max(1, tokens-e.cache.Hits(blocks)*core.BlockTokens)
	d := clock.Millis(computed / e.prefillRate())
	if err := e.Clock.Sleep(ctx, e.Faults.Scale(d)); err != nil {
		return computed, err
	}
	e.cache.Add(blocks)
	e.Counters.PrefillTokens.Add(int64(computed))
	return computed, nil
}

// dropExport releases the memory of an export, at most once, and reports whether
// this call did so.
func (e *Engine) dropExport(exp *export) bool {
	dropped := false
	e.exports.Update(exp.id, func(current *export, ok bool) (*export, bool) {
		dropped = ok && current == exp
		return current, ok && current != exp
	})
	if dropped {
		e.memory.Release(exp.pieces, e.pieces())
	}
	return dropped
}

// expireExport drops an export that no decode engine has fetched in time.
func (e *Engine) expireExport(exp *export) {
	if e.dropExport(exp) {
		e.Counters.Expired.Add(1)
		e.Counters.WastedTokens.Add(int64(exp.tokens))
	}
}

// sendKV transfers an export to a decode engine at the link's bandwidth, and drops
// it afterwards.
func (e *Engine) sendKV(w http.ResponseWriter, r *http.Request) {
	exp, ok := e.exports.Get(mux.Vars(r)["id"])
	if !ok {
		writeError(w, http.StatusNotFound, "export_expired", "no such export")
		return
	}
	d := e.Faults.Current().TransferDelay
	if e.Speed.LinkRate > 0 {
		d += clock.Millis(int64(exp.tokens) * e.tokenBytes() / e.Speed.LinkRate)
	}
	if e.Clock.Sleep(r.Context(), d) != nil {
		return
	}
	if !e.dropExport(exp) {
		writeError(w, http.StatusNotFound, "export_expired", "the export expired during its transfer")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

// errExpired means that the prefill engine no longer holds the export.
var errExpired = errors.New("the export has expired")

// fetchKV fetches an export from the prefill engine that t names.
func (e *Engine) fetchKV(ctx context.Context, t *transfer) error {
	addr := net.JoinHostPort(t.RemoteHost, strconv.Itoa(t.RemotePort))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fake/kv/"+t.RemoteRequestID, nil)
	if err != nil {
		return err
	}
	resp, err := e.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return errExpired
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("export: status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(&struct{}{})
}

// localAddr returns the address at which the request arrived, for the response's
// transfer parameters.
func localAddr(r *http.Request) (host string, port int) {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return "", 0
	}
	return addr.IP.String(), addr.Port
}
