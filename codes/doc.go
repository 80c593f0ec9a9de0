// Package codes defines the numbered result codes of the program and the
// error type that carries them.
//
// A code gives the caller the kind of failure, the HTTP status, and whether the
// request ran. The last is a guarantee: a request that fails with [NotRun] must
// not have run on any upstream.
//
// # Usage
//
//	return codes.New(codes.QueueFull, "model %q has %d waiting", model, n)
//
// A cause is kept for logs and errors.Is and isn't shown to callers:
//
//	return codes.Wrap(codes.UpstreamLost, err, "decode %s", name)
//
// docs/CODES.md lists all codes; a test checks that the page is up to date.
package codes
