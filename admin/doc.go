// Package admin is the operators' HTTP interface.
//
// # Usage
//
//	s := &admin.Server{Views: book, Members: table}
//	http.Serve(ln, s.Handler())
package admin
