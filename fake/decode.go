package fake

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/lorem"
)

// decode loads a prompt's KV cache and streams the answer.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, c completion) {
	s, err := e.startSequence(r, c)
	if err != nil {
		name := "transfer_failed"
		if errors.Is(err, errExpired) {
			name = "export_expired"
		}
		writeError(w, http.StatusConflict, name, err.Error())
		return
	}
	e.stream(w, r, s, c.attempt, s.offset)
}

// startSequence acquires memory, loads the KV cache and adds the sequence to the
// batch. The sequence then runs until it is complete or cancelled, even if the
// client disconnects.
func (e *Engine) startSequence(r *http.Request, c completion) (*sequence, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	s := &sequence{
		id: c.id, owner: c.owner, attempt: c.attempt, reader: c.attempt,
		start: e.Clock.Now(), cancel: cancel,
		writer: lorem.NewWriter(c.Prompt), offset: c.Offset, limit: c.MaxTokens,
		changed: make(chan struct{}),
	}
	if !e.registerSequence(s) {
		cancel()
		return nil, errStaleAttempt
	}
	pieces := core.Pieces(core.TokenEstimate(c.Prompt) + c.MaxTokens)
	if err := e.memory.Acquire(ctx, pieces, c.Priority, e.pieces()); err != nil {
		e.removeSequence(s)
		return nil, err
	}
	s.mu.Lock()
	s.pieces = pieces
	s.mu.Unlock()
	if err := e.loadKV(ctx, c); err != nil {
		e.cancelSequence(s)
		return nil, err
	}
	if ctx.Err() != nil {
		e.cancelSequence(s)
		return nil, ctx.Err()
	}
	e.Counters.Decodes.Add(1)
	e.batch.add(s)
	return s, nil
}

// errStaleAttempt rejects an attempt that is no newer than the registered one.
var errStaleAttempt = errors.New("a newer attempt has started")

// registerSequence makes s the only sequence of its request. It cancels the
// sequence of an older attempt, and returns false if the same or a newer attempt
// is registered.
func (e *Engine) registerSequence(s *sequence) bool {
	var old *sequence
	registered := true
	e.seqs.Update(s.id, func(current *sequence, ok bool) (*sequence, bool) {
		if ok && current.attempt >= s.attempt {
			registered = false
			return current, true
		}
		old = current
		return s, true
	})
	if old != nil {
		e.cancelSequence(old)
	}
	return registered
}

// loadKV fetches the prompt's KV cache from a prefill engine, or computes it if
// the request names no export.
func (e *Engine) loadKV(ctx context.Context, c completion) error {
	if c.Transfer != nil && c.Transfer.DoRemotePrefill {
		return e.fetchKV(ctx, c.Transfer)
	}
	_, err := e.computePrompt(ctx, c.Prompt, core.TokenEstimate(c.Prompt))
	return err
}

// resumeStream attaches a newer attempt to a running sequence and streams its
// tokens from the offset.
func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "offset: want a number that is not negative")
		return
	}
	attempt := attemptOf(r)
	s, ok := e.seqs.Get(mux.Vars(r)["id"])
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "no such request")
		return
	}
	if offset < s.offset || offset > s.offset+s.limit {
		writeError(w, http.StatusConflict, "bad_offset", "no token at this offset")
		return
	}
	if !s.attach(attempt, ownerOf(r, s.id)) {
		writeError(w, http.StatusConflict, "superseded", "a newer attempt is attached")
		return
	}
	e.stream(w, r, s, attempt, offset)
}

// hasNewerReader reports whether a newer attempt than the given one is attached.
func (s *sequence) hasNewerReader(attempt core.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt < s.reader
}

// attach makes the attempt the only one that streams the tokens, and sets the
// owner of the sequence. It returns false if the attempt is no newer than the
// attached one.
func (s *sequence) attach(attempt core.Attempt, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt <= s.reader {
		return false
	}
	s.reader, s.owner = attempt, owner
	s.wakeReaders()
	return true
}

// snapshot is the state of a sequence for a reader at an offset.
type snapshot struct {
	// tokens are those from the offset on.
	tokens []string
	// total is the offset after the last token.
	total      int
	ended      bool
	failed     bool
	superseded bool
	changed    chan struct{}
}

// snapshot returns the state for the given attempt, with the tokens from offset
// on.
func (s *sequence) snapshot(attempt core.Attempt, offset int) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := snapshot{ended: s.ended, failed: s.failed, superseded: attempt < s.reader, changed: s.changed}
	snap.total = s.offset + len(s.tokens)
	if start := offset - s.offset; start >= 0 && start < len(s.tokens) {
		snap.tokens = s.tokens[start:]
	}
	return snap
}

// stream writes the sequence's tokens as events, from offset until the end marker.
// It aborts the connection if the engine crashes, and ends with an error event if
// the sequence is cancelled or a newer attempt is attached.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, attempt core.Attempt, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", s.id)
	w.Header().Set("Attempt", strconv.Itoa(int(attempt)))
	boot, _ := e.process.current()
	out := &output{w: w, control: http.NewResponseController(w), faults: &e.Faults}
	for {
		snap := s.snapshot(attempt, offset)
		if current, _ := e.process.current(); current != boot {
			panic(http.ErrAbortHandler)
		}
		if snap.superseded || snap.failed {
			out.event(event{ID: s.id, Attempt: attempt, Offset: offset, Error: endReason(snap)})
			return
		}
		for _, text := range snap.tokens {
			out.token(event{ID: s.id, Attempt: attempt, Offset: offset, Choices: []choice{{Text: text}}})
			offset++
		}
		if snap.ended && offset == snap.total {
			out.event(event{ID: s.id, Attempt: attempt, Offset: offset, Choices: []choice{{Finish: "length"}}, Usage: &usage{CompletionTokens: offset}})
			out.write([]byte("data: [DONE]\n\n"))
			return
		}
		out.flush()
		select {
		case <-snap.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// endReason returns the value of the error field in the last event.
func endReason(snap snapshot) string {
	if snap.superseded {
		return "superseded"
	}
	return "cancelled"
}
