package front

// Gate says whether this entry takes new work.
type Gate interface {
	// Admit returns the error for the caller if it does not.
	Admit() error
}

// admit asks the gate. It is asked once a call has arrived in full, right
// before it is handed on: an entry that was frozen while it read must not go
// on with what it believed before.
func (s *Server) admit() error {
	if s.Gate == nil {
		return nil
	}
	return s.Gate.Admit()
}
