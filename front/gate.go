package front

import "net/http"

// Gate says whether this entry takes new work.
type Gate interface {
	// Admit returns the error for the caller if it does not.
	Admit() error
}

// checkGate asks the gate. It is asked once a call has arrived in full, right
// before it is handed on: an entry that was frozen while it read must not go
// on with what it believed before.
func (s *Server) checkGate() error {
	if s.Gate == nil {
		return nil
	}
	return s.Gate.Admit()
}

// recheck asks the gate, and then identifies the caller once more if another
// document came in force since c was identified: an entry that was frozen
// between the two must not go by a key that was withdrawn meanwhile.
func (s *Server) recheck(r *http.Request, c identity) (identity, error) {
	if err := s.checkGate(); err != nil {
		return c, err
	}
	if s.Views.View() == c.view {
		return c, nil
	}
	return s.identify(r)
}
