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

// transfer is the kv_transfer_params of a call, in the form that vLLM uses
// for separate prefill.
type transfer struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// Expires is how many milliseconds the export lives.
	Expires clock.Millis `json:"expires,omitempty"`
}

// export is a prefill's result that waits to be fetched.
type export struct {
	id      string
	owner   string
	attempt core.Attempt
	start   clock.Millis
	tokens  int
	pieces  int
}

// lane is the one place where prompts are computed, one after another.
type lane struct {
	mu     sync.Mutex
	queued int
	turn   chan struct{}
}

func (l *lane) enter(ctx context.Context, tokens int) error {
	l.mu.Lock()
	if l.turn == nil {
		l.turn = make(chan struct{}, 1)
	}
	l.queued += tokens
	turn := l.turn
	l.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		l.left(tokens)
		return ctx.Err()
	}
}

func (l *lane) left(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued -= tokens
}

func (l *lane) exit(tokens int) {
	l.left(tokens)
	<-l.turn
}

func (l *lane) tokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued
}

// prompt is a prompt that is being computed.
type prompt struct {
	owner   string
	attempt core.Attempt
	start   clock.Millis
	cancel  context.CancelFunc
}

// prefill computes a prompt and keeps the result for a decode engine. It goes
// on when the connection closes, until it is cancelled.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, c completion) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	p := &prompt{owner: c.owner, attempt: c.attempt, start: e.Clock.Now(), cancel: cancel}
	e.prompts.Set(c.id, p)
	x, computed := e.export(ctx, c)
	e.prompts.Update(c.id, func(now *prompt, ok bool) (*prompt, bool) { return now, ok && now != p })
	if x == nil {
		e.Count.WastedTokens.Add(int64(computed))
		writeError(w, http.StatusConflict, "cancelled", "the request was cancelled")
		return
	}
	if e.Trouble.Spend(func(i *fault.Ills) *int { return &i.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	host, port := localAddr(r)
	id, attempt := e.Trouble.Sign(c.id, c.attempt)
	reply.JSON(w, http.StatusOK, completed{
		ID:       id,
		Attempt:  attempt,
		Usage:    usage{PromptTokens: x.tokens, CachedTokens: x.tokens - computed},
		Transfer: &transfer{DoRemotePrefill: true, RemoteEngineID: e.Name, RemoteHost: host, RemotePort: port, RemoteRequestID: id, Expires: e.exportLife()},
	})
}

// export computes a prompt and holds its KV cache until it is fetched,
// cancelled or expires. It returns nil if ctx ended before.
func (e *Engine) export(ctx context.Context, c completion) (x *export, computed int) {
	tokens := core.TokenEstimate(c.Prompt)
	pieces := core.Pieces(tokens)
	boot, _ := e.power.now()
	if e.memory.Take(ctx, pieces, c.Priority, e.pieces()) != nil {
		return nil, 0
	}
	computed, err := e.compute(ctx, c.Prompt, tokens)
	if now, _ := e.power.now(); err != nil || now != boot {
		e.memory.Give(pieces, e.pieces())
		return nil, computed
	}
	x = &export{id: c.id, owner: c.owner, attempt: c.attempt, start: e.Clock.Now(), tokens: tokens, pieces: pieces}
	if old, ok := e.exports.Get(x.id); ok {
		e.drop(old)
	}
	e.exports.Set(x.id, x)
	e.Clock.AfterFunc(e.exportLife(), func() { e.expire(x) })
	e.Count.Prefills.Add(1)
	return x, computed
}

// compute takes the time that the prompt's uncached tokens need and returns
// how many these were.
func (e *Engine) compute(ctx context.Context, prompt string, tokens int) (int, error) {
	if err := e.lane.enter(ctx, tokens); err != nil {
		return 0, err
	}
	defer e.lane.exit(tokens)
	blocks := core.Blocks(prompt)
	computed := max(1, tokens-e.cache.Hits(blocks)*core.BlockTokens)
	d := clock.Millis(computed / e.prefillRate())
	if err := e.Clock.Sleep(ctx, e.Trouble.Stretch(d)); err != nil {
		return computed, err
	}
	e.cache.Add(blocks)
	e.Count.PrefillTokens.Add(int64(computed))
	return computed, nil
}

// drop gives an export's memory back, once, and returns whether it did.
func (e *Engine) drop(x *export) bool {
	dropped := false
	e.exports.Update(x.id, func(now *export, ok bool) (*export, bool) {
		dropped = ok && now == x
		return now, ok && now != x
	})
	if dropped {
		e.memory.Give(x.pieces, e.pieces())
	}
	return dropped
}

func (e *Engine) expire(x *export) {
	if e.drop(x) {
		e.Count.Expired.Add(1)
		e.Count.WastedTokens.Add(int64(x.tokens))
	}
}

// sendKV gives an export to a decode engine at the link's rate.
func (e *Engine) sendKV(w http.ResponseWriter, r *http.Request) {
	x, ok := e.exports.Get(mux.Vars(r)["id"])
	if !ok {
		writeError(w, http.StatusNotFound, "export_expired", "no such export")
		return
	}
	d := e.Trouble.Now().StallTransfers
	if e.Speed.Rate > 0 {
		d += clock.Millis(int64(x.tokens) * e.tokenBytes() / e.Speed.Rate)
	}
	if e.Clock.Sleep(r.Context(), d) != nil {
		return
	}
	if !e.drop(x) {
		writeError(w, http.StatusNotFound, "export_expired", "the export expired during its transfer")
		return
	}
	reply.JSON(w, http.StatusOK, struct{}{})
}

var errExpired = errors.New("the export has expired")

// fetchKV takes an export from the prefill engine that the parameters name.
func (e *Engine) fetchKV(ctx context.Context, t *transfer) error {
	addr := net.JoinHostPort(t.RemoteHost, strconv.Itoa(t.RemotePort))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fake/kv/"+t.RemoteRequestID, nil)
	if err != nil {
		return err
	}
	resp, err := e.http.Do(req)
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

func localAddr(r *http.Request) (host string, port int) {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return "", 0
	}
	return addr.IP.String(), addr.Port
}
