package front

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prompt"
)

// completions handles /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, prompt.Completion)
}

// chat handles /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, prompt.Chat)
}

// complete reads a request, runs it and writes the response. decode decodes the
// body.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, decode func([]byte) (prompt.Prompt, error)) {
	body := s.newBody()
	defer body.release()
	req, stream, err := s.readRequest(w, r, body, decode)
	switch {
	case err != nil:
		s.refuse(w, err)
	case stream:
		s.respondStream(w, r, req)
	default:
		s.respondWhole(w, r, req)
	}
}

// readRequest reads and checks a request. It authenticates the caller before it
// reads the body. stream reports whether the response is to be streamed.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, body *heldBody, decode func([]byte) (prompt.Prompt, error)) (req *core.Request, stream bool, err error) {
	caller, err := s.identify(r)
	if err != nil {
		return nil, false, err
	}
	deadline, err := s.deadline(r)
	if err != nil {
		return nil, false, err
	}
	arrived := s.Clock.Now()
	data, err := s.readBody(w, r, body)
	if err != nil {
		return nil, false, err
	}
	p, err := decode(data)
	if err != nil {
		return nil, false, err
	}
	if caller, err = s.recheck(r, caller); err != nil {
		return nil, false, err
	}
	if !caller.view.HasModel(p.Model) {
		return nil, false, codes.New(codes.UnknownModel, "field model: %.64q", p.Model)
	}
	return &core.Request{
		ID: requestID(r), Workspace: caller.workspace.Name, Weight: max(1, caller.workspace.Weight),
		Profile: caller.profile, Model: p.Model, Prompt: p.Text, MaxTokens: p.MaxTokens,
		Arrived: arrived, Deadline: deadline, Chat: p.Chat,
		Digest: xxhash.Sum64String(p.Model + "\x00" + p.Text),
	}, p.Stream, nil
}

// respondWhole runs the request and sends the response in one piece.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, req *core.Request) {
	sink := &textSink{}
	check := &audit{sink: sink, meter: s.Meter, id: req.ID}
	if err := check.finalError(s.Runner.Run(r.Context(), req, check)); err != nil {
		s.recordFailure(req, err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sink.response(req))
}

// respondStream runs the request and streams the response as server-sent events.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, req *core.Request) {
	sink := newStreamSink(w, newResumeClaims(req), s.Signer, s.Limits.WithDefaults().Output)
	check := &audit{sink: sink, meter: s.Meter, id: req.ID}
	if err := check.finalError(s.Runner.Run(r.Context(), req, check)); err != nil {
		s.recordFailure(req, err)
		sink.fail(err)
	}
}

// recordFailure counts and logs a request that ended with an error.
func (s *Server) recordFailure(req *core.Request, err error) {
	s.Meter.CountRefused(codes.From(err).Code)
	s.Log.Info("front: a request failed", zap.Stringer("id", req.ID), zap.Error(err))
}
