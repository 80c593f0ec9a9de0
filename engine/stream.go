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
	errNoEndMarker  = errors.New("the stream ended without its end marker")
	errMissingToken = errors.New("the stream left tokens out")
	errTokenCount   = errors.New("the end marker counts other tokens than came")
)

// streamBufferBytes is the size of the buffer that a stream is read through; it
// grows for an event that is larger.
const streamBufferBytes = 1 << 10

var dataPrefix = []byte("data: ")

// readStream calls each for every token from offset on, and for the end
// marker. A stream that breaks, leaves out a token or miscounts is an error.
func (c *Client) readStream(r io.Reader, t target, offset int, each func(core.Token) error) error {
	s := &stream{client: c, target: t, id: t.id.String(), nextOffset: offset, onToken: each}
	s.fast = newFastParser(t, s.id)
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, streamBufferBytes), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if err := s.handleEvent(data); err != nil || s.ended {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s", t.up.Name)
	}
	return codes.Wrap(codes.UpstreamLost, errNoEndMarker, "%s", t.up.Name)
}

// stream is the reading end of one engine stream.
type stream struct {
	client     *Client
	target     target
	id         string
	nextOffset int
	ended      bool
	onToken    func(core.Token) error
	fast       fastParser
}

func (s *stream) handleEvent(data []byte) error {
	if offset, text, ok := s.fast.parse(data); ok {
		return s.handleText(offset, text)
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s: event", s.target.up.Name)
	}
	if err := s.client.checkIdentity(s.target, s.id, e.ID, e.Attempt); err != nil {
		return err
	}
	if e.Error != "" {
		return s.eventError(e)
	}
	if len(e.Choices) == 0 {
		return nil
	}
	return s.handleChoice(e)
}

func (s *stream) eventError(e event) error {
	code := codes.UpstreamLost
	if e.Error == codes.Superseded.String() {
		code = codes.Superseded
	}
	return codes.New(code, "%s: %s", s.target.up.Name, e.Error)
}

func (s *stream) handleChoice(e event) error {
	c := e.Choices[0]
	if c.Finish == "" {
		return s.handleText(e.Offset, c.Text)
	}
	if err := s.checkOffset(e.Offset); err != nil {
		return err
	}
	if e.Usage == nil || e.Usage.CompletionTokens != s.nextOffset {
		return codes.Wrap(codes.UpstreamLost, errTokenCount, "%s", s.target.up.Name)
	}
	s.ended = true
	return s.deliver(core.Token{Offset: e.Offset, Text: c.Text, Finish: c.Finish})
}

// handleText hands on a token with text.
func (s *stream) handleText(offset int, text string) error {
	if err := s.checkOffset(offset); err != nil {
		return err
	}
	s.nextOffset++
	return s.deliver(core.Token{Offset: offset, Text: text})
}

func (s *stream) checkOffset(offset int) error {
	if offset == s.nextOffset {
		return nil
	}
	return codes.Wrap(codes.UpstreamLost, errMissingToken, "%s: offset %d, want %d", s.target.up.Name, offset, s.nextOffset)
}

func (s *stream) deliver(t core.Token) error {
	t.ID, t.Attempt = s.target.id, s.target.attempt
	return s.onToken(t)
}
