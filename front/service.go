package front

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// forwardedHeaders lists the request headers that are forwarded to the service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent"}

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

// callService forwards a call to a plain service and returns its response.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	body := s.newBody()
	defer body.release()
	call, err := s.readCall(w, r, body)
	if err != nil {
		s.refuse(w, err)
		return
	}
	answer, err := s.Plain.Call(r.Context(), call)
	if err != nil {
		s.Log.Info("front: a service call failed", zap.Stringer("id", call.ID), zap.Error(err))
		s.refuse(w, err)
		return
	}
	if t := answer.Header.Get("Content-Type"); t != "" {
		w.Header().Set("Content-Type", t)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// readCall reads and checks a call of a plain service. It authenticates the
// caller and finds the route before it reads the body, and again afterwards if
// the document has changed in between.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, body *heldBody) (core.Call, error) {
	caller, err := s.identify(r)
	if err != nil {
		return core.Call{}, err
	}
	call, err := s.routeCall(r, caller)
	if err != nil {
		return core.Call{}, err
	}
	if call.Body, err = s.readBody(w, r, body); err != nil {
		return core.Call{}, err
	}
	rechecked, err := s.recheck(r, caller)
	if err != nil || rechecked.view == caller.view {
		return call, err
	}
	rerouted, err := s.routeCall(r, rechecked)
	rerouted.Body, rerouted.Deadline = call.Body, call.Deadline
	return rerouted, err
}

// routeCall returns the call without its body. It uses the routes of the document
// version by which the caller was identified.
func (s *Server) routeCall(r *http.Request, caller identity) (call core.Call, err error) {
	vars := mux.Vars(r)
	call = core.Call{
		ID: requestID(r), Workspace: caller.workspace.Name, Service: vars["service"], Method: r.Method,
		Path: "/" + vars["path"], Query: r.URL.RawQuery, Header: make(http.Header),
	}
	if err := checkPath(call.Path); err != nil {
		return core.Call{}, err
	}
	route, ok := findRoute(caller.view.Doc.Routes, call)
	if !ok {
		return core.Call{}, codes.New(codes.UnknownService, "%s %.256s of service %.64q", call.Method, call.Path, call.Service)
	}
	if call.IdempotencyKey, err = idempotencyKey(r, route); err != nil {
		return core.Call{}, err
	}
	if call.Deadline, err = s.deadline(r); err != nil {
		return core.Call{}, err
	}
	if call.Deadline == 0 && route.Timeout > 0 {
		call.Deadline = s.Clock.Now() + route.Timeout
	}
	for _, name := range forwardedHeaders {
		if v := r.Header.Values(name); len(v) > 0 {
			call.Header[name] = v
		}
	}
	return call, nil
}

// unsafePathChars lists the characters that would change the path if the
// service decodes it a second time.
const unsafePathChars = "\\?#%\x00"

// checkPath rejects a path that a service could interpret as another path than
// the one matched against the routes.
func checkPath(p string) error {
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if clean != p || strings.ContainsAny(p, unsafePathChars) {
		return codes.New(codes.BadRequest, "path: want one without empty or dot parts and without any of \\ ? # %%")
	}
	return nil
}

// findRoute returns the published route with the longest matching prefix.
func findRoute(routes []core.Route, call core.Call) (core.Route, bool) {
	var best core.Route
	found := false
	for _, r := range routes {
		if r.Service != call.Service || !strings.HasPrefix(call.Path, r.Prefix) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, call.Method) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best, found = r, true
		}
	}
	return best, found
}

// idempotencyKey returns the Idempotency-Key of a call that must not be
// repeated, and an empty key for a repeatable route.
func idempotencyKey(r *http.Request, route core.Route) (string, error) {
	if route.Repeatable {
		return "", nil
	}
	k, err := singleHeader(r, "Idempotency-Key")
	if err != nil {
		return "", err
	}
	if k == "" {
		return "", codes.New(codes.KeyMissing, "header Idempotency-Key: missing")
	}
	if len(k) > maxKeyBytes {
		return "", codes.New(codes.BadRequest, "header Idempotency-Key: over %d bytes", maxKeyBytes)
	}
	return k, nil
}
