package strict

import (
	"fmt"
	"strings"
)

// FieldError is an error in one field of an input.
type FieldError struct {
	// Field is the path of the field, such as "callers.listen" or
	// "profiles[2].timeout". It is empty if the error concerns the whole input.
	Field string
	// Text describes the error. It may contain names and bounds, but never the
	// value, which may be a key or a token.
	Text string
}

// Error returns the path and the text.
func (f FieldError) Error() string {
	if f.Field == "" {
		return f.Text
	}
	return f.Field + ": " + f.Text
}

// Faults lists the errors of an input in the order in which they were found.
type Faults []FieldError

// Add appends an error of the field.
func (fs *Faults) Add(field, format string, args ...any) {
	*fs = append(*fs, FieldError{Field: field, Text: fmt.Sprintf(format, args...)})
}

// Error returns all errors, separated by semicolons.
func (fs Faults) Error() string {
	texts := make([]string, len(fs))
	for i, f := range fs {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// Err returns fs as an error, or nil if fs is empty.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
