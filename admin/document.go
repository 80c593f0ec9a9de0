package admin

import (
	"net/http"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/input"
	"lacewinghook.example/lacewinghook/reply"
	"lacewinghook.example/lacewinghook/strict"
)

// PublishedVersion is one published version of the configuration document, with
// the operator who published it.
type PublishedVersion struct {
	Version int64  `json:"version"`
	By      string `json:"by"`
	// At is the wall time in milliseconds since 1970.
	At  clock.Millis  `json:"at"`
	Doc core.Document `json:"doc"`
}

// ActiveVersion is the document version that one entry uses.
type ActiveVersion struct {
	Instance string `json:"instance"`
	Version  int64  `json:"version"`
	// Reached reports whether the entry answered the query.
	Reached bool `json:"reached"`
}

// PublishResult is the response to a publication.
type PublishResult struct {
	Version int64 `json:"version"`
}

// History lists published versions, newest first.
type History struct {
	Versions []PublishedVersion `json:"versions"`
}

// ActiveVersions lists the version that each entry uses.
type ActiveVersions struct {
	Instances []ActiveVersion `json:"instances"`
}

// getDocument returns the document from the platform's table, or the active
// document of this entry if the table can't be read.
func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	doc, err := s.currentDocument(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(doc.Version, 10)))
	reply.JSON(w, http.StatusOK, doc)
}

// currentDocument reads the document from the platform's table and falls back
// to the active document of this entry.
func (s *Server) currentDocument(r *http.Request) (*core.Document, error) {
	if s.Documents != nil {
		doc, err := s.Documents.Current(r.Context())
		if err == nil && doc != nil {
			return doc, nil
		}
	}
	if v := s.ActiveDocument.View(); v != nil {
		return v.Doc, nil
	}
	return nil, codes.New(codes.NoDocument, "this entry")
}

// maxDocumentBytes is the maximum size of a published document.
const maxDocumentBytes = 8 << 20

// publishDocument replaces the document if the If-Match header names the current
// version, so that concurrent changes of two operators don't overwrite each
// other.
func (s *Server) publishDocument(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyUnsupported(w, "publishing")
		return
	}
	expected, err := expectedVersion(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	doc := &core.Document{}
	if err := readBody(w, r, maxDocumentBytes, doc); err != nil {
		reply.Error(w, err)
		return
	}
	version, err := s.Documents.Publish(r.Context(), doc, expected, operatorName(r))
	replyJSON(w, PublishResult{Version: version}, err)
}

// expectedVersion returns the version from the If-Match header that the
// operator expects to replace; zero means that no document exists yet.
func expectedVersion(r *http.Request) (int64, error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, codes.New(codes.BadRequest, "header If-Match: want the number of the version to replace")
	}
	return n, nil
}

// readBody reads a body of at most limit bytes and decodes it strictly. The
// error names every invalid field.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := input.Read(w, r, limit)
	if err != nil {
		return err
	}
	if err := strict.Decode(data, v).Err(); err != nil {
		return codes.New(codes.BadRequest, "body: %v", err)
	}
	return nil
}

// listConfirmed returns the document version that each entry uses.
func (s *Server) listConfirmed(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyUnsupported(w, "publishing")
		return
	}
	reply.JSON(w, http.StatusOK, ActiveVersions{Instances: s.Documents.ActiveVersions(r.Context())})
}

// Limits on the number of elements in one list response.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

// listHistory returns the published versions, newest first.
func (s *Server) listHistory(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyUnsupported(w, "publishing")
		return
	}
	limit, err := listLimit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	versions, err := s.Documents.History(r.Context(), limit)
	replyJSON(w, History{Versions: versions}, err)
}

// listLimit returns the query parameter limit, or the default without one.
func listLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultListLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxListLimit {
		return 0, codes.New(codes.BadRequest, "query limit: want 1 to %d", maxListLimit)
	}
	return n, nil
}
