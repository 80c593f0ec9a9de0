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

// Version is one published version of the document.
type Version struct {
	Version int64  `json:"version"`
	By      string `json:"by"`
	// At is the wall time in milliseconds since 1970.
	At  clock.Millis  `json:"at"`
	Doc core.Document `json:"doc"`
}

// Confirmation is the version that one entry has in force.
type Confirmation struct {
	Instance string `json:"instance"`
	Version  int64  `json:"version"`
	// Reached says that the entry answered when it was asked.
	Reached bool `json:"reached"`
}

// Published is the answer to a change of the document.
type Published struct {
	Version int64 `json:"version"`
}

// History lists versions, the newest first.
type History struct {
	Versions []Version `json:"versions"`
}

// Confirmed lists what every entry has in force.
type Confirmed struct {
	Instances []Confirmation `json:"instances"`
}

// getDocument answers with the document as it stands in the platform's table, or
// with the one in force here if the table can't be read.
func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	doc, err := s.currentDocument(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(doc.Version, 10)))
	reply.JSON(w, http.StatusOK, doc)
}

func (s *Server) currentDocument(r *http.Request) (*core.Document, error) {
	if s.Documents != nil {
		doc, err := s.Documents.Current(r.Context())
		if err == nil && doc != nil {
			return doc, nil
		}
	}
	if v := s.Views.View(); v != nil {
		return v.Doc, nil
	}
	return nil, codes.New(codes.NoDocument, "this entry")
}

// maxDocumentBytes bounds a document.
const maxDocumentBytes = 8 << 20

// publish replaces the document on the condition of the If-Match header.
func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyMissing(w, "publishing")
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
	replyJSON(w, Published{Version: version}, err)
}

// expectedVersion reads the version that the operator has seen, zero for none.
func expectedVersion(r *http.Request) (int64, error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, codes.New(codes.BadRequest, "header If-Match: want the version that is to be replaced")
	}
	return n, nil
}

// readBody decodes a body strictly; its error names every field at fault.
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

func (s *Server) listConfirmed(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyMissing(w, "publishing")
		return
	}
	reply.JSON(w, http.StatusOK, Confirmed{Instances: s.Documents.Confirmed(r.Context())})
}

// Bounds of a listing.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

func (s *Server) listHistory(w http.ResponseWriter, r *http.Request) {
	if s.Documents == nil {
		replyMissing(w, "publishing")
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
