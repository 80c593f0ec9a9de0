package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prompt"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/token"
)

// streamSink sends an answer as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// resume is what the caller's resume token holds, and signer signs it.
	resume  token.Resume
	signer  token.Signer
	started bool
	// writeTimeout is how long the caller may take nothing; zero is not limited.
	writeTimeout clock.Millis
	// prefix and tail stand around the text of a plain token event, and buf is
	// used again for each.
	prefix, suffix, buf []byte
}

func newStreamSink(w http.ResponseWriter, r token.Resume, signer token.Signer, stall clock.Millis) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), resume: r, signer: signer, writeTimeout: stall}
	// The caller has no token of this entry yet.
	s.resume.Upstream = ""
	return s
}

// Token implements [flow.Sink].
func (s *streamSink) Token(t core.Token) error {
	s.writeHeader()
	s.setWriteDeadline()
	if err := s.writeToken(t); err != nil {
		return err
	}
	if t.Finish != "" {
		if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return s.control.Flush()
}

// writeToken sends one event. The first event, and the first from another decode
// upstream, carries a resume token.
func (s *streamSink) writeToken(t core.Token) error {
	moved := t.Upstream != s.resume.Upstream
	if t.Finish == "" && !moved {
		return s.writeText(t.Text)
	}
	a := s.chunk(t)
	if moved {
		s.resume.Upstream, s.resume.Attempt = t.Upstream, t.Attempt
		a.Resume = s.signer.Seal(s.resume)
	}
	return s.writeEvent(a)
}

func (s *streamSink) chunk(t core.Token) response {
	a := response{ID: s.resume.ID.String(), Model: s.resume.Model, Object: "text_completion"}
	c := choice{}
	if s.resume.Chat {
		a.Object = "chat.completion.chunk"
		c.Delta = &prompt.Message{Role: "assistant", Content: t.Text}
	} else {
		c.Text = &t.Text
	}
	if t.Finish != "" {
		c.Finish = &t.Finish
		a.Usage = usageOf(s.resume.Prompt, t.Offset)
	}
	a.Choices = []choice{c}
	return a
}

// writeText sends an event that has nothing but text. All such events of a stream
// differ in the text alone, so that the rest is encoded once.
func (s *streamSink) writeText(text string) error {
	if s.prefix == nil {
		s.encodeFrame()
	}
	s.buf = append(s.buf[:0], s.prefix...)
	s.buf = reply.AppendQuoted(s.buf, text)
	s.buf = append(s.buf, s.suffix...)
	_, err := s.w.Write(s.buf)
	return err
}

// textPlaceholder stands in for the text when the frame of an event is encoded. It can't
// occur in the ID or the model, which contain no line break.
const textPlaceholder = "\n"

// encodeFrame encodes an event and keeps what stands around its text.
func (s *streamSink) encodeFrame() {
	// The type's fields always encode.
	data, _ := json.Marshal(s.chunk(core.Token{Text: textPlaceholder}))
	line := append([]byte("data: "), data...)
	line = append(line, "\n\n"...)
	at := bytes.LastIndex(line, []byte(`"\n"`))
	s.prefix, s.suffix = line[:at:at], line[at+len(`"\n"`):]
}

func (s *streamSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err = s.w.Write(line)
	return err
}

// setWriteDeadline sets the time within which the caller must take what is sent
// next. A caller that takes nothing is as good as gone, and its request must
// not hold engine memory.
func (s *streamSink) setWriteDeadline() {
	if s.writeTimeout > 0 {
		_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout.Std()))
	}
}

// fail tells the caller of an error: as the answer if nothing was sent yet,
// else as the last event, which is not an end marker.
func (s *streamSink) fail(err error) {
	if !s.started {
		writeError(s.w, err)
		return
	}
	_, body := errorOf(err)
	if s.writeEvent(body) == nil {
		_ = s.control.Flush()
	}
}
