package fake

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prose"
)

// decode takes a prefill's result and streams the answer.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, c completion) {
	s, err := e.begin(r, c)
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

// begin takes memory and the KV cache for a sequence and puts it into the
// batch. From here the sequence runs on, whoever reads it, until it ends or
// is cancelled.
func (e *Engine) begin(r *http.Request, c completion) (*sequence, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	s := &sequence{
		id: c.id, owner: c.owner, attempt: c.attempt, reader: c.attempt,
		start: e.Clock.Now(), cancel: cancel,
		writer: prose.NewWriter(c.Prompt), offset: c.Offset, limit: c.MaxTokens,
		moved: make(chan struct{}),
	}
	if !e.enter(s) {
		cancel()
		return nil, errOldAttempt
	}
	pieces := core.Pieces(core.TokenEstimate(c.Prompt) + c.MaxTokens)
	if err := e.memory.Take(ctx, pieces, c.Priority, e.pieces()); err != nil {
		e.forget(s)
		return nil, err
	}
	s.mu.Lock()
	s.pieces = pieces
	s.mu.Unlock()
	if err := e.load(ctx, c); err != nil {
		e.stop(s)
		return nil, err
	}
	if ctx.Err() != nil {
		e.stop(s)
		return nil, ctx.Err()
	}
	e.Count.Decodes.Add(1)
	e.batch.add(s)
	return s, nil
}

// errOldAttempt refuses a start that a newer attempt overtook.
var errOldAttempt = errors.New("a newer attempt has started")

// enter makes s the request's one sequence: an older attempt's is ended, and
// s is refused beside a newer one.
func (e *Engine) enter(s *sequence) bool {
	var old *sequence
	entered := true
	e.seqs.Update(s.id, func(now *sequence, ok bool) (*sequence, bool) {
		if ok && now.attempt >= s.attempt {
			entered = false
			return now, true
		}
		old = now
		return s, true
	})
	if old != nil {
		e.stop(old)
	}
	return entered
}

// load brings the prompt's KV cache in: by a transfer, or computed here.
func (e *Engine) load(ctx context.Context, c completion) error {
	if c.Transfer != nil && c.Transfer.DoRemotePrefill {
		return e.fetchKV(ctx, c.Transfer)
	}
	_, err := e.compute(ctx, c.Prompt, core.TokenEstimate(c.Prompt))
	return err
}

// resume attaches a reader with a higher attempt to a running sequence.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "offset: want a number")
		return
	}
	attempt := attemptOf(r)
	s, ok := e.seqs.Get(mux.Vars(r)["id"])
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "no such request")
		return
	}
	if offset < s.offset || offset > s.offset+s.limit {
		writeError(w, http.StatusConflict, "bad_offset", "the engine holds no token of this offset")
		return
	}
	if !s.attach(attempt, ownerOf(r, s.id)) {
		writeError(w, http.StatusConflict, "superseded", "a newer attempt is attached")
		return
	}
	e.stream(w, r, s, attempt, offset)
}

// newer reports whether a reader of a later attempt is attached.
func (s *sequence) newer(attempt core.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt < s.reader
}

// attach makes the attempt the sequence's one reader, and its owner that of
// the sequence.
func (s *sequence) attach(attempt core.Attempt, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt <= s.reader {
		return false
	}
	s.reader, s.owner = attempt, owner
	s.signal()
	return true
}

// view is what a reader finds at its offset.
type view struct {
	tokens     []string
	total      int
	ended      bool
	failed     bool
	superseded bool
	moved      chan struct{}
}

func (s *sequence) look(attempt core.Attempt, offset int) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{ended: s.ended, failed: s.failed, superseded: attempt < s.reader, moved: s.moved}
	v.total = s.offset + len(s.tokens)
	if at := offset - s.offset; at >= 0 && at < len(s.tokens) {
		v.tokens = s.tokens[at:]
	}
	return v
}

// stream writes the sequence's tokens from offset until its end marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, attempt core.Attempt, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", s.id)
	w.Header().Set("Attempt", strconv.Itoa(int(attempt)))
	boot, _ := e.power.now()
	out := &output{w: w, control: http.NewResponseController(w), trouble: &e.Trouble}
	for {
		v := s.look(attempt, offset)
		if now, _ := e.power.now(); now != boot {
			panic(http.ErrAbortHandler)
		}
		if v.superseded || v.failed {
			out.event(event{ID: s.id, Attempt: attempt, Offset: offset, Error: endReason(v)})
			return
		}
		for _, text := range v.tokens {
			out.token(event{ID: s.id, Attempt: attempt, Offset: offset, Choices: []choice{{Text: text}}})
			offset++
		}
		if v.ended && offset == v.total {
			out.event(event{ID: s.id, Attempt: attempt, Offset: offset, Choices: []choice{{Finish: "length"}}, Usage: &usage{CompletionTokens: offset}})
			out.write([]byte("data: [DONE]\n\n"))
			return
		}
		out.flush()
		select {
		case <-v.moved:
		case <-r.Context().Done():
			return
		}
	}
}

func endReason(v view) string {
	if v.superseded {
		return "superseded"
	}
	return "cancelled"
}
