package front

import (
	"bytes"
	"math/rand/v2"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/input"
	"lacewinghook.example/lacewinghook/spool"
)

// A caller may retry after bodyRetryAfter, plus a random time below bodyJitter, if too
// many bodies are being read or held.
const (
	bodyRetryAfter clock.Millis = 500
	bodyJitter     clock.Millis = 1000
)

// heldBody counts the memory of a request's body until the request has ended: read is
// what was read, and copied what is made of it, a prompt and then its encoding.
type heldBody struct {
	read, copied spool.Buffer
}

// newBody returns the body of a request. It must be released.
func (s *Server) newBody() *heldBody {
	return &heldBody{read: spool.Buffer{Pool: &s.Held, Lasting: true}, copied: spool.Buffer{Pool: &s.Held, Lasting: true}}
}

// release releases the memory.
func (b *heldBody) release() {
	b.read.Reset()
	b.copied.Reset()
}

// reserveCopy takes room for a copy of what was read.
func (b *heldBody) reserveCopy() error {
	err := b.copied.Reserve(int64(b.read.Len()))
	if err == nil {
		err = b.copied.Pin()
	}
	if err != nil {
		return codes.Wrap(codes.InputFull, err, "body: no room for a copy of %d bytes", b.read.Len())
	}
	return nil
}

// readBody reads the body of a request, limited in size and time, in the number of
// bodies that are read concurrently and in the sum of those that are held.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, b *heldBody) ([]byte, error) {
	limits := s.Limits.WithDefaults()
	defer s.openBodies.Add(-1)
	if s.openBodies.Add(1) > int64(limits.Inputs) {
		return nil, codes.New(codes.QueueFull, "limit of %d concurrent request bodies reached", limits.Inputs).WithRetryAfter(bodyRetryAfter)
	}
	err := input.ReadTo(w, r, &b.read, limits.Body, &s.discards)
	if err == nil {
		err = b.reserveCopy()
	}
	if err != nil {
		b.release()
		if codes.Has(err, codes.InputFull) {
			err = codes.From(err).WithRetryAfter(bodyRetryAfter + rand.N(bodyJitter))
		}
		return nil, err
	}
	if blocks := b.read.Blocks(); len(blocks) == 1 {
		return blocks[0], nil
	}
	return bytes.Join(b.read.Blocks(), nil), nil
}
