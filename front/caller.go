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

// identity is the authenticated caller of a request, and the document version
// that was used to identify it.
type identity struct {
	view      *pubdoc.View
	workspace core.Workspace
	profile   core.Profile
}

// identify authenticates the caller by its key and selects the profile: the
// one in the header, or the workspace's default.
func (s *Server) identify(r *http.Request) (identity, error) {
	caller := identity{view: s.Documents.View()}
	if caller.view == nil {
		return caller, codes.New(codes.NoDocument, "this entry")
	}
	authorization, err := singleHeader(r, "Authorization")
	if err != nil {
		return caller, err
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return caller, codes.New(codes.Unauthorized, "header Authorization: want a bearer key")
	}
	if caller.workspace, ok = caller.view.Workspace(key); !ok {
		return caller, codes.New(codes.Unauthorized, "header Authorization: unknown key")
	}
	name, err := singleHeader(r, "Profile")
	if err != nil {
		return caller, err
	}
	if name == "" {
		name = caller.workspace.Profile
	}
	if caller.profile, ok = caller.view.Profile(name); !ok {
		return caller, codes.New(codes.UnknownProfile, "header Profile: %q", name)
	}
	return caller, nil
}

// singleHeader returns the value of a header, or an error if the header occurs
// more than once.
func singleHeader(r *http.Request, name string) (string, error) {
	values := r.Header.Values(name)
	if len(values) > 1 {
		return "", codes.New(codes.BadRequest, "header %s: given twice", name)
	}
	if len(values) == 0 {
		return "", nil
	}
	return values[0], nil
}

// maxDeadline is the longest time that a Deadline header may specify.
const maxDeadline = 24 * 60 * clock.Minute

// deadline parses the Deadline header, in milliseconds from now. It returns an
// instant, or zero without the header.
func (s *Server) deadline(r *http.Request) (clock.Millis, error) {
	text, err := singleHeader(r, "Deadline")
	if err != nil || text == "" {
		return 0, err
	}
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining <= 0 || remaining > int64(maxDeadline) {
		return 0, codes.New(codes.BadRequest, "header Deadline: want 1 to %d ms", maxDeadline)
	}
	return s.Clock.Now() + clock.Millis(remaining), nil
}
