// Package grant reserves the memory of decode upstreams, in pieces, before a
// prefill starts.
//
// [Alone] goes by this entry's own counts and the upstreams' late reports.
//
// # Usage
//
//	m := &grant.Alone{Upstreams: table}
//	if m.Take("decode-1", 3) {
//		defer m.Give("decode-1", 3)
//	}
package grant
