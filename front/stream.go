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

// streamSink sends tokens as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// resume is the content of the caller's current resume token, which signer
	// signs.
	resume  token.Resume
	signer  token.Signer
	started bool
	// writeTimeout is how long a write to the caller may block. Zero means no
	// limit.
	writeTimeout clock.Millis
	// prefix and suffix are the encoded bytes before and after the text in an
	// event that contains only text. buf is reused for each such event.
	prefix, suffix, buf []byte
}

// newStreamSink returns a sink that writes to w. r is the content of the resume
// tokens that it sends; the sink sets the upstream and the attempt.
func newStreamSink(w http.ResponseWriter, r token.Resume, signer token.Signer, writeTimeout clock.Millis) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), resume: r, signer: signer, writeTimeout: writeTimeout}
	// An empty upstream makes the first event carry a resume token.
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

// writeToken sends one event. The first event of the stream and the first after
// a change of the decode upstream carry a resume token.
func (s *streamSink) writeToken(t core.Token) error {
	upstreamChanged := t.Upstream != s.resume.Upstream
	if t.Finish == "" && !upstreamChanged {
		return s.writeText(t.Text)
	}
	chunk := s.chunk(t)
	if upstreamChanged {
		s.resume.Upstream, s.resume.Attempt = t.Upstream, t.Attempt
		chunk.Resume = s.signer.Sign(s.resume)
	}
	return s.writeEvent(chunk)
}

// chunk returns the body of the event for t.
func (s *streamSink) chunk(t core.Token) response {
	resp := response{ID: s.resume.ID.String(), Model: s.resume.Model, Object: "text_completion"}
	c := choice{}
	if s.resume.Chat {
		resp.Object = "chat.completion.chunk"
		c.Delta = &prompt.Message{Role: "assistant", Content: t.Text}
	} else {
		c.Text = &t.Text
	}
	if t.Finish != "" {
		c.Finish = &t.Finish
		resp.Usage = usageOf(s.resume.PromptTokens, t.Offset)
	}
	resp.Choices = []choice{c}
	return resp
}

// writeText sends an event that contains only text. These events differ only in
// the text, so the JSON around it is encoded once per stream.
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

// textPlaceholder is the text of the event that encodeFrame encodes. It can't
// occur in the ID or the model, which contain no line break.
const textPlaceholder = "\n"

// encodeFrame encodes an event with a placeholder as its text, and stores the
// bytes before and after it in prefix and suffix.
func (s *streamSink) encodeFrame() {
	// Encoding these field types can't fail.
	data, _ := json.Marshal(s.chunk(core.Token{Text: textPlaceholder}))
	line := append([]byte("data: "), data...)
	line = append(line, "\n\n"...)
	at := bytes.LastIndex(line, []byte(`"\n"`))
	s.prefix, s.suffix = line[:at:at], line[at+len(`"\n"`):]
}

// writeHeader sends the response header before the first event.
func (s *streamSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent sends v as the JSON data of one event.
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

// setWriteDeadline limits the time of the next write. A caller that reads
// nothing is treated as disconnected, so that its request doesn't hold engine
// memory.
func (s *streamSink) setWriteDeadline() {
	if s.writeTimeout > 0 {
		_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout.Duration()))
	}
}

// fail sends an error to the caller: as the response if nothing was sent yet,
// otherwise as the last event, without an end marker.
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
