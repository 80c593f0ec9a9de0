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

// event is a server-sent event of an engine's token stream.
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

// The causes of [codes.UpstreamLost] for a stream.
var (
	errNoEndMarker  = errors.New("stream ended without an end marker")
	errMissingToken = errors.New("token missing or repeated in the stream")
	errTokenCount   = errors.New("token count of the end marker differs from the tokens received")
)

// streamBufferBytes is the initial size of a stream's read buffer. It grows up
// to maxEventBytes for larger events.
const streamBufferBytes = 1 << 10

// maxFillerBytes bounds the lines without data between two events, such as comments.
const maxFillerBytes = 64 << 10

var errNoEvents = errors.New("the stream holds too much text that belongs to no event")

// dataPrefix begins the data line of a server-sent event.
var dataPrefix = []byte("data: ")

// readStream calls onToken for every token from offset on, and for the end
// marker. It returns an error if the stream breaks off, misses or repeats a
// token, or if the end marker has a wrong token count.
func (c *Client) readStream(r io.Reader, t target, offset int, onToken func(core.Token) error) error {
	s := &stream{client: c, target: t, id: t.id.String(), nextOffset: offset, onToken: onToken}
	s.fast = newFastParser(t, s.id)
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, streamBufferBytes), maxEventBytes)
	filler := 0
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			if filler += len(sc.Bytes()) + 1; filler > maxFillerBytes {
				return codes.Wrap(codes.UpstreamLost, errNoEvents, "%s", t.up.Name)
			}
			continue
		}
		filler = 0
		if err := s.handleEvent(data); err != nil || s.ended {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s", t.up.Name)
	}
	return codes.Wrap(codes.UpstreamLost, errNoEndMarker, "%s", t.up.Name)
}

// stream is the state of reading one engine stream.
type stream struct {
	client *Client
	target target
	// id is the ID of target as a string.
	id string
	// nextOffset is the expected offset of the next token.
	nextOffset int
	// ended is set once the end marker has been received.
	ended   bool
	onToken func(core.Token) error
	fast    fastParser
}

// handleEvent processes the data of one event.
func (s *stream) handleEvent(data []byte) error {
	if offset, text, ok := s.fast.parse(data); ok {
		return s.handleText(offset, text)
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return codes.Wrap(codes.UpstreamLost, err, "%s: decode an event", s.target.up.Name)
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

// eventError returns the error that the engine reported in an event.
func (s *stream) eventError(e event) error {
	code := codes.UpstreamLost
	if e.Error == codes.Superseded.String() {
		code = codes.Superseded
	}
	return codes.New(code, "%s: %s", s.target.up.Name, e.Error)
}

// handleChoice delivers the token or the end marker in an event. The token count
// of an end marker includes the tokens of earlier attempts.
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

// handleText checks the offset of a token and delivers it.
func (s *stream) handleText(offset int, text string) error {
	if err := s.checkOffset(offset); err != nil {
		return err
	}
	s.nextOffset++
	return s.deliver(core.Token{Offset: offset, Text: text})
}

// checkOffset returns an error if offset isn't that of the next token.
func (s *stream) checkOffset(offset int) error {
	if offset == s.nextOffset {
		return nil
	}
	return codes.Wrap(codes.UpstreamLost, errMissingToken, "%s: offset %d, want %d", s.target.up.Name, offset, s.nextOffset)
}

// deliver passes a token to the callback.
func (s *stream) deliver(t core.Token) error {
	t.ID, t.Attempt = s.target.id, s.target.attempt
	return s.onToken(t)
}
