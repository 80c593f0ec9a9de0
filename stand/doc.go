// Package stand has stand-ins for the users' platform: its metadata store and
// its replicas, as the platform's pages describe them. They have a codec of
// their own, so that a test of the adapter isn't the adapter talking to itself.
// Only tests import it.
//
// # Usage
//
//	s := stand.NewStore(t)
//	r := stand.NewReplica(t, "i-1", "verse", "decode")
//	s.Put("servers", "i-1", r.Row("ready"))
//	r.Fail(stand.CutAnswer, 1)      // the next request's answer is cut
package stand
