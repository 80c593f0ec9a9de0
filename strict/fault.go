package strict

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with an input.
type Fault struct {
	// Field is the path of the field, such as "callers.listen" or
	// "profiles[2].timeout"; it is empty for the input as a whole.
	Field string
	// Text says what is wrong. It holds names and bounds, never the value,
	// since that may be a key or a token.
	Text string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Field == "" {
		return f.Text
	}
	return f.Field + ": " + f.Text
}

// Faults are all faults of an input, in the order in which they were found.
type Faults []Fault

// Add adds a fault of the field.
func (fs *Faults) Add(field, format string, args ...any) {
	*fs = append(*fs, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
}

// Error lists every fault, separated by semicolons.
func (fs Faults) Error() string {
	texts := make([]string, len(fs))
	for i, f := range fs {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// Err returns fs as an error, or nil if there are no faults.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
