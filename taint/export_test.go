package taint

// Knows reports whether anything is known of the part.
func (t *Table) Knows(part uint64) bool {
	_, ok := t.suspects.Get(part)
	return ok
}

// Rejudge decides anew on all suspects, as each sweep does.
func (t *Table) Rejudge() { t.judge() }
