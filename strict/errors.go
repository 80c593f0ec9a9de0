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
func (e FieldError) Error() string {
	if e.Field == "" {
		return e.Text
	}
	return e.Field + ": " + e.Text
}

// FieldErrors lists the errors of an input in the order in which they were found.
type FieldErrors []FieldError

// Add appends an error of the field.
func (errs *FieldErrors) Add(field, format string, args ...any) {
	*errs = append(*errs, FieldError{Field: field, Text: fmt.Sprintf(format, args...)})
}

// Error returns all errors, separated by semicolons.
func (errs FieldErrors) Error() string {
	texts := make([]string, len(errs))
	for i, e := range errs {
		texts[i] = e.Error()
	}
	return strings.Join(texts, "; ")
}

// Err returns errs as an error, or nil if errs is empty.
func (errs FieldErrors) Err() error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}
