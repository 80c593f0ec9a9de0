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

// resume goes on with an answer that any entry began.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	t, offset, err := s.readResumeToken(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("Request-Id", t.ID.String())
	sink := newStreamSink(w, t, s.Signer, s.Limits.Filled().Output)
	check := &audit{sink: sink, meter: s.Meter, id: t.ID, next: offset}
	if err := check.finalError(s.Runner.Resume(r.Context(), t, offset, check)); err != nil {
		s.Meter.Refused(codes.From(err).Code)
		s.Log.Info("front: a resumed request failed", zap.Stringer("id", t.ID), zap.Error(err))
		sink.fail(err)
	}
}

// readResumeToken reads and checks the token, which must be for this request and
// for the caller's workspace.
func (s *Server) readResumeToken(r *http.Request) (t token.Resume, offset int, err error) {
	c, err := s.identify(r)
	if err != nil {
		return t, 0, err
	}
	text, err := singleHeader(r, "Resume-Token")
	if err != nil {
		return t, 0, err
	}
	if t, err = s.Signer.Open(text); err != nil {
		return t, 0, err
	}
	if t.ID.String() != mux.Vars(r)["id"] || t.Workspace != c.workspace.Name {
		return t, 0, codes.New(codes.BadToken, "resume token: not of this request and workspace")
	}
	offset, err = strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 || offset > t.Max {
		return t, 0, codes.New(codes.BadRequest, "query offset: want 0 to %d", t.Max)
	}
	return t, offset, nil
}

// newResumeClaims returns what a token for the request holds at its start.
func newResumeClaims(r *core.Request) token.Resume {
	return token.Resume{
		ID: r.ID, Workspace: r.Workspace, Model: r.Model, Chat: r.Chat,
		Prompt: core.TokenEstimate(r.Prompt), Max: r.MaxTokens, Digest: r.Digest,
	}
}
