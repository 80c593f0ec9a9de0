// Package strict decodes JSON and rejects what encoding/json tolerates: unknown
// fields at any depth, duplicate fields, and names that differ from the tag in
// case. It reports all errors of the input, wrong types included, each with the
// path of the field.
//
// The settings, the published document and the request bodies of callers are
// all decoded by this package, so that the same rules apply to each of them.
//
// # Usage
//
//	var s Settings
//	errs := strict.Decode(data, &s)
//	if s.Linger > maxLinger {
//		errs.Add("linger", "want 0 to %d", maxLinger)
//	}
//	return errs.Err()
//
// Decode stores every field that it can decode, even if others have errors, so
// that the caller can check the values and add errors to the same report. The
// caller limits the size of data.
package strict
