package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// completionCall is the body of a completions call.
type completionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatCall is the body of a chat completions call.
type chatCall struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Bounds of a completions call.
const (
	defaultMaxTokens = 256
	limitMaxTokens   = 32 << 10
)

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	var call completionCall
	if err := readBody(w, r, &call); err != nil {
		writeError(w, err)
		return
	}
	s.complete(w, r, call, false)
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var call chatCall
	if err := readBody(w, r, &call); err != nil {
		writeError(w, err)
		return
	}
	var prompt strings.Builder
	for _, m := range call.Messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	s.complete(w, r, completionCall{
		Model: call.Model, Prompt: prompt.String(), MaxTokens: call.MaxTokens, Stream: call.Stream,
	}, true)
}

// readBody decodes a JSON body strictly into v.
func readBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return codes.New(codes.TooLarge, "body: over %d bytes", maxBodyBytes)
	}
	if err != nil {
		return codes.Wrap(codes.BadRequest, err, "body: can't be read")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return codes.Wrap(codes.BadRequest, err, "body: %v", err)
	}
	if dec.More() {
		return codes.New(codes.BadRequest, "body: data after the JSON value")
	}
	return nil
}

// complete checks a call, carries it out and answers.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, call completionCall, chat bool) {
	req, err := s.request(r, call, chat)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Request-Id", req.ID.String())
	if call.Stream {
		s.streamed(w, r, req)
		return
	}
	s.whole(w, r, req)
}

func (s *Server) request(r *http.Request, call completionCall, chat bool) (*core.Request, error) {
	if err := s.admit(); err != nil {
		return nil, err
	}
	c, err := s.identify(r)
	if err != nil {
		return nil, err
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = defaultMaxTokens
	}
	switch {
	case call.Prompt == "":
		return nil, codes.New(codes.BadRequest, "field prompt: missing")
	case call.MaxTokens < 0 || call.MaxTokens > limitMaxTokens:
		return nil, codes.New(codes.BadRequest, "field max_tokens: want 1 to %d", limitMaxTokens)
	case !c.view.HasModel(call.Model):
		return nil, codes.New(codes.UnknownModel, "field model: %q", call.Model)
	}
	deadline, err := s.deadline(r)
	if err != nil {
		return nil, err
	}
	return &core.Request{
		ID: s.IDs.Next(), Workspace: c.workspace.Name, Weight: max(1, c.workspace.Weight),
		Profile: c.profile, Model: call.Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens,
		Arrived: s.Clock.Now(), Deadline: deadline, Chat: chat,
		Digest: xxhash.Sum64String(call.Model + "\x00" + call.Prompt),
	}, nil
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, req *core.Request) {
	sink := &textSink{}
	if err := s.Runner.Run(r.Context(), req, sink); err != nil {
		s.logFailure(req, err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sink.answer(req))
}

func (s *Server) streamed(w http.ResponseWriter, r *http.Request, req *core.Request) {
	sink := &streamSink{w: w, out: http.NewResponseController(w), req: req}
	if err := s.Runner.Run(r.Context(), req, sink); err != nil {
		s.logFailure(req, err)
		sink.fail(err)
	}
}

func (s *Server) logFailure(req *core.Request, err error) {
	s.Log.Info("front: a request failed", zap.Stringer("id", req.ID), zap.Error(err))
}
