// Package codes defines the numbered result codes of the program and the
// error type that carries them.
//
// A code says three things to a caller: what went wrong, which HTTP status
// belongs to it, and whether the request ran. The last is a promise: an error
// whose Run is [NotRun] must truly not have run at any upstream.
//
// # Usage
//
//	return codes.New(codes.QueueFull, "model %q has %d waiting", model, n)
//
// A cause is kept for the log and for errors.Is, and is not shown to callers:
//
//	return codes.Wrap(codes.UpstreamLost, err, "decode %s", name)
//
// docs/CODES.md holds the table of all codes; a test keeps the two equal.
package codes
