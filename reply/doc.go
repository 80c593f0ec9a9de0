// Package reply writes JSON responses and errors in the format shared by the
// callers' and the operators' interface, and decodes the errors for clients.
//
// # Usage
//
//	reply.JSON(w, http.StatusOK, v)
//	reply.Error(w, codes.New(codes.NotFound, "path %s", path))
//	err := reply.ReadError(status, body)     // in a client
package reply
