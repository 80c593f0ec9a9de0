package fake

import (
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/lorem"
)

// sequence is a request at a decode engine, from its arrival until its text is
// deleted.
type sequence struct {
	id      string
	owner   string
	attempt core.Attempt
	// start is the instant of the request's arrival.
	start clock.Millis
	// pieces is the memory held. It is protected by mu.
	pieces int
	cancel context.CancelFunc

	mu     sync.Mutex
	writer *lorem.Writer
	tokens []string
	// offset is the number of the answer's tokens that earlier attempts returned.
	offset int
	// limit is the number of tokens to generate.
	limit int
	// reader is the newest attempt that streams the tokens.
	reader core.Attempt
	ended  bool
	failed bool
	// changed is closed and replaced whenever tokens, reader, ended or failed change.
	changed chan struct{}
}

// batch holds the sequences that a decode engine advances together.
type batch struct {
	mu   sync.Mutex
	seqs []*sequence
	// wakeup receives a value when a sequence is added, which wakes an idle engine.
	wakeup chan struct{}
}

// wakeupChan returns the wakeup channel and creates it on first use.
func (b *batch) wakeupChan() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wakeup == nil {
		b.wakeup = make(chan struct{}, 1)
	}
	return b.wakeup
}

// add appends a sequence and wakes the engine.
func (b *batch) add(s *sequence) {
	wakeup := b.wakeupChan()
	b.mu.Lock()
	b.seqs = append(b.seqs, s)
	b.mu.Unlock()
	select {
	case wakeup <- struct{}{}:
	default:
	}
}

// list returns a copy of the sequences.
func (b *batch) list() []*sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*sequence(nil), b.seqs...)
}

// remove removes a sequence, if it is still in the batch.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.seqs {
		if other == s {
			b.seqs = append(b.seqs[:i], b.seqs[i+1:]...)
			return
		}
	}
}

// runBatch advances every sequence by one token per step until ctx ends. With an
// empty batch it waits for a wakeup.
func (e *Engine) runBatch(ctx context.Context) {
	wakeup := e.batch.wakeupChan()
	for {
		seqs := e.batch.list()
		if len(seqs) == 0 {
			select {
			case <-wakeup:
				continue
			case <-ctx.Done():
				return
			}
		}
		if e.Clock.Sleep(ctx, e.Faults.Scale(e.stepTime())) != nil {
			return
		}
		for _, s := range seqs {
			e.advanceSequence(s)
		}
	}
}

// advanceSequence generates the next token and finishes the sequence at its
// limit. The memory is released before a reader sees the end.
func (e *Engine) advanceSequence(s *sequence) {
	if s.atLast() {
		e.releaseMemory(s)
	}
	s.mu.Lock()
	if !s.ended {
		s.tokens = append(s.tokens, s.writer.Next())
		s.ended = len(s.tokens) >= s.limit
		e.Counters.Tokens.Add(1)
	}
	ended := s.ended
	s.wakeReaders()
	s.mu.Unlock()
	if ended {
		e.finishSequence(s)
	}
}

// atLast reports whether the next token is the last one.
func (s *sequence) atLast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)+1 >= s.limit
}

// wakeReaders wakes the streams that wait for a change of the sequence. The caller
// holds the lock.
func (s *sequence) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finishSequence releases the sequence's memory, at most once, and keeps its text
// for textRetention, so that a reader can resume the stream.
func (e *Engine) finishSequence(s *sequence) {
	e.batch.remove(s)
	e.releaseMemory(s)
	e.Clock.AfterFunc(textRetention, func() { e.removeSequence(s) })
}

// releaseMemory releases the sequence's memory, at most once.
func (e *Engine) releaseMemory(s *sequence) {
	s.mu.Lock()
	pieces := s.pieces
	s.pieces = 0
	s.mu.Unlock()
	if pieces > 0 {
		e.memory.Release(pieces, e.pieces())
	}
}

// textRetention is how long the text of a finished sequence is kept.
const textRetention = 10 * clock.Second

// removeSequence deletes the sequence, unless a newer attempt has replaced it.
func (e *Engine) removeSequence(s *sequence) {
	e.seqs.Update(s.id, func(current *sequence, ok bool) (*sequence, bool) {
		return current, ok && current != s
	})
}

// cancelSequence ends a sequence before its limit and deletes its text.
func (e *Engine) cancelSequence(s *sequence) {
	s.cancel()
	s.mu.Lock()
	s.ended = true
	s.failed = true
	s.wakeReaders()
	s.mu.Unlock()
	e.finishSequence(s)
	e.removeSequence(s)
}
