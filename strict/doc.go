// Package strict decodes JSON and guesses nothing. Every fault of the input is
// reported, each with the path of its field: unknown fields at any depth, a
// field given twice, a name in another case, and values of the wrong type.
//
// It is used for the settings, for the published document and for the bodies
// of callers, so that all of them are read by the same rules.
//
// # Usage
//
//	var s Settings
//	faults := strict.Decode(data, &s)
//	faults.Add("linger", "want 0 to %d", maxLinger)
//	return faults.Err()
//
// What could be decoded stands in the value also when there are faults, so
// that checks of the values can add theirs to the same report. The caller
// bounds the size of data.
package strict
