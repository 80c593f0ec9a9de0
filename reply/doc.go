// Package reply writes answers and errors in the one form that callers and
// operators get, and reads them back for clients.
//
// # Usage
//
//	reply.JSON(w, http.StatusOK, v)
//	reply.Error(w, codes.New(codes.NotFound, "path %s", path))
//	err := reply.ReadError(status, body)     // at a client
package reply
