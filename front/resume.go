package front

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/token"
)

// resume continues the stream of a response that this or another entry began.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	t, offset, err := s.readResumeToken(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("Request-Id", t.ID.String())
	sink := newStreamSink(w, t, s.Signer, s.Limits.WithDefaults().Output)
	check := &audit{sink: sink, meter: s.Meter, id: t.ID, next: offset}
	if err := check.finalError(s.Runner.Resume(r.Context(), t, offset, check)); err != nil {
		s.Meter.CountRefused(codes.From(err).Code)
		s.Log.Info("front: a resumed request failed", zap.Stringer("id", t.ID), zap.Error(err))
		sink.fail(err)
	}
}

// readResumeToken verifies the resume token, which must belong to the request
// in the path and to the caller's workspace. It also returns the offset of the
// first token to send.
func (s *Server) readResumeToken(r *http.Request) (t token.Resume, offset int, err error) {
	caller, err := s.identify(r)
	if err != nil {
		return t, 0, err
	}
	text, err := singleHeader(r, "Resume-Token")
	if err != nil {
		return t, 0, err
	}
	if t, err = s.Signer.Verify(text); err != nil {
		return t, 0, err
	}
	if t.ID.String() != mux.Vars(r)["id"] || t.Workspace != caller.workspace.Name {
		return t, 0, codes.New(codes.BadToken, "resume token: not of this request and workspace")
	}
	offset, err = strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 || offset > t.MaxTokens {
		return t, 0, codes.New(codes.BadRequest, "query offset: want 0 to %d", t.MaxTokens)
	}
	return t, offset, nil
}

// newResumeClaims returns the content of the request's first resume token,
// without upstream and attempt, which are set when the stream starts.
func newResumeClaims(r *core.Request) token.Resume {
	return token.Resume{
		ID: r.ID, Workspace: r.Workspace, Model: r.Model, Chat: r.Chat,
		PromptTokens: core.TokenEstimate(r.Prompt), MaxTokens: r.MaxTokens, Digest: r.Digest,
	}
}
