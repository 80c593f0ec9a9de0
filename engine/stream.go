package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// event is one event of an engine's stream.
type event struct {
	ID      string       `json:"id"`
	Attempt core.Attempt `json:"attempt"`
	Offset  int          `json:"offset"`
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error string `json:"error"`
}

var (
	errNoMarker = errors.New("the stream ended without its end marker")
	errGap      = errors.New("the stream left tokens out")
	errCount    = errors.New("the end marker counts other tokens than came")
)

// streamBuffer is the size of the buffer that a stream is read through; it
// grows for an event that is larger.
const streamBuffer = 1 << 10

var dataPrefix = []byte("data: ")

// readStream calls each for every token from offset on, and for the end
// marker. A stream that breaks, leaves out a token or miscounts is an error.
func (c *Client) readStream(r io.Reader, t target, offset int, each func(core.Token) error) error {
	s := &stream{client: c, target: t, id: t.id.String(), next: offset, each: each}
	s.quick = newQuick(t, s.id)
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, streamBuffer), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if err := s.event(data); err != nil || s.ended {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s", t.up.Name)
	}
	return codes.Wrap(codes.UpstreamLost, errNoMarker, "%s", t.up.Name)
}

// stream is the reading end of one engine stream.
type stream struct {
	client *Client
	target target
	id     string
	next   int
	ended  bool
	each   func(core.Token) error
	quick  quick
}

func (s *stream) event(data []byte) error {
	if offset, text, ok := s.quick.read(data); ok {
		return s.text(offset, text)
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s: event", s.target.up.Name)
	}
	if err := s.client.check(s.target, s.id, e.ID, e.Attempt); err != nil {
		return err
	}
	if e.Error != "" {
		return s.broken(e)
	}
	if len(e.Choices) == 0 {
		return nil
	}
	return s.token(e)
}

func (s *stream) broken(e event) error {
	code := codes.UpstreamLost
	if e.Error == codes.Superseded.String() {
		code = codes.Superseded
	}
	return codes.New(code, "%s: %s", s.target.up.Name, e.Error)
}

func (s *stream) token(e event) error {
	c := e.Choices[0]
	if c.Finish == "" {
		return s.text(e.Offset, c.Text)
	}
	if err := s.inOrder(e.Offset); err != nil {
		return err
	}
	if e.Usage == nil || e.Usage.CompletionTokens != s.next {
		return codes.Wrap(codes.UpstreamLost, errCount, "%s", s.target.up.Name)
	}
	s.ended = true
	return s.hand(core.Token{Offset: e.Offset, Text: c.Text, Finish: c.Finish})
}

// text hands on a token with text.
func (s *stream) text(offset int, text string) error {
	if err := s.inOrder(offset); err != nil {
		return err
	}
	s.next++
	return s.hand(core.Token{Offset: offset, Text: text})
}

func (s *stream) inOrder(offset int) error {
	if offset == s.next {
		return nil
	}
	return codes.Wrap(codes.UpstreamLost, errGap, "%s: offset %d, want %d", s.target.up.Name, offset, s.next)
}

func (s *stream) hand(t core.Token) error {
	t.ID, t.Attempt = s.target.id, s.target.attempt
	return s.each(t)
}
