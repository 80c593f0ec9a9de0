package front

import (
	"net/http"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// caller is who calls, under which version of the document.
type caller struct {
	view      *pubdoc.View
	workspace core.Workspace
	profile   core.Profile
}

// identify finds the workspace by its key, and the profile.
func (s *Server) identify(r *http.Request) (caller, error) {
	c := caller{view: s.Views.View()}
	if c.view == nil {
		return c, codes.New(codes.NoDocument, "this entry")
	}
	authorization, err := single(r, "Authorization")
	if err != nil {
		return c, err
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return c, codes.New(codes.Unauthorized, "header Authorization: want a bearer key")
	}
	if c.workspace, ok = c.view.Workspace(key); !ok {
		return c, codes.New(codes.Unauthorized, "header Authorization: unknown key")
	}
	name, err := single(r, "Profile")
	if err != nil {
		return c, err
	}
	if name == "" {
		name = c.workspace.Profile
	}
	if c.profile, ok = c.view.Profile(name); !ok {
		return c, codes.New(codes.UnknownProfile, "header Profile: %q", name)
	}
	return c, nil
}

// single returns the value of a header that may be given once.
func single(r *http.Request, name string) (string, error) {
	values := r.Header.Values(name)
	if len(values) > 1 {
		return "", codes.New(codes.BadRequest, "header %s: given twice", name)
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// maxDeadline bounds the time that a caller may give.
const maxDeadline = 24 * 60 * clock.Minute

// deadline reads the Deadline header; zero is none.
func (s *Server) deadline(r *http.Request) (clock.Millis, error) {
	text, err := single(r, "Deadline")
	if err != nil || text == "" {
		return 0, err
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left <= 0 || left > int64(maxDeadline) {
		return 0, codes.New(codes.BadRequest, "header Deadline: want 1 to %d ms", maxDeadline)
	}
	return s.Clock.Now() + clock.Millis(left), nil
}
