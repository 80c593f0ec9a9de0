package fake

import (
	"context"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prose"
)

// sequence is one request at a decode engine.
type sequence struct {
	id      string
	owner   string
	attempt core.Attempt
	start   clock.Millis
	pieces  int
	cancel  context.CancelFunc

	mu     sync.Mutex
	writer *prose.Writer
	tokens []string
	// offset is the count of tokens that earlier attempts gave.
	offset int
	limit  int
	// reader is the attempt that is attached now.
	reader core.Attempt
	ended  bool
	failed bool
	// moved is closed and replaced whenever any of the above changes.
	moved chan struct{}
}

// batch is the set of sequences that a decode engine advances together.
type batch struct {
	mu   sync.Mutex
	seqs []*sequence
	// added tells the engine that the batch is no longer empty.
	added chan struct{}
}

func (b *batch) wake() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.added == nil {
		b.added = make(chan struct{}, 1)
	}
	return b.added
}

func (b *batch) add(s *sequence) {
	added := b.wake()
	b.mu.Lock()
	b.seqs = append(b.seqs, s)
	b.mu.Unlock()
	select {
	case added <- struct{}{}:
	default:
	}
}

func (b *batch) list() []*sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*sequence(nil), b.seqs...)
}

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

// runBatch advances every sequence by one token a step. An idle engine waits
// on a channel.
func (e *Engine) runBatch(ctx context.Context) {
	added := e.batch.wake()
	for {
		seqs := e.batch.list()
		if len(seqs) == 0 {
			select {
			case <-added:
				continue
			case <-ctx.Done():
				return
			}
		}
		if e.Clock.Sleep(ctx, e.Trouble.Stretch(e.step())) != nil {
			return
		}
		for _, s := range seqs {
			e.advance(s)
		}
	}
}

func (e *Engine) advance(s *sequence) {
	s.mu.Lock()
	if !s.ended {
		s.tokens = append(s.tokens, s.writer.Next())
		s.ended = len(s.tokens) >= s.limit
		e.Count.Tokens.Add(1)
	}
	ended := s.ended
	s.signal()
	s.mu.Unlock()
	if ended {
		e.finish(s)
	}
}

// signal wakes the readers; the caller holds the lock.
func (s *sequence) signal() {
	close(s.moved)
	s.moved = make(chan struct{})
}

// finish gives the sequence's memory back, once, and keeps its text a while
// for readers that come back.
func (e *Engine) finish(s *sequence) {
	e.batch.remove(s)
	s.mu.Lock()
	pieces := s.pieces
	s.pieces = 0
	s.mu.Unlock()
	if pieces > 0 {
		e.memory.Give(pieces, e.pieces())
	}
	e.Clock.AfterFunc(textLife, func() { e.forget(s) })
}

// textLife is how long the text of a finished sequence is kept.
const textLife = 10 * clock.Second

func (e *Engine) forget(s *sequence) {
	e.seqs.Update(s.id, func(now *sequence, ok bool) (*sequence, bool) {
		return now, ok && now != s
	})
}

// stop ends a sequence that was cancelled.
func (e *Engine) stop(s *sequence) {
	s.cancel()
	s.mu.Lock()
	s.ended = true
	s.failed = true
	s.signal()
	s.mu.Unlock()
	e.finish(s)
	e.forget(s)
}
