package front

import "net/http"

// Gate reports whether this entry accepts new work.
type Gate interface {
	// Admit returns nil if it does, and otherwise the error for the caller.
	Admit() error
}

// checkGate returns an error if this entry accepts no new work. It is called
// after the request was read in full, right before the request is run: a process
// that was suspended while reading may have outdated state.
func (s *Server) checkGate() error {
	if s.Gate == nil {
		return nil
	}
	return s.Gate.Admit()
}

// recheck checks the gate, and identifies the caller again if the active
// document has changed since caller was identified. Otherwise a process that
// was suspended in between could accept a key that has been revoked.
func (s *Server) recheck(r *http.Request, caller identity) (identity, error) {
	if err := s.checkGate(); err != nil {
		return caller, err
	}
	if s.Documents.View() == caller.view {
		return caller, nil
	}
	return s.identify(r)
}
