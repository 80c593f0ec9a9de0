package entry

import (
	"net/http"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// operatorHandler returns the HTTP interface for operators.
func (e *Entry) operatorHandler() http.Handler {
	// Create the counter of every promise at zero, so that alerts on an
	// increase fire at the first violation too.
	for _, p := range meter.Promises {
		e.meter.Add("violations_total", 0, "promise", string(p.Promise))
	}
	e.registerGauges()
	s := &admin.Server{
		Tokens:         e.Settings.Tokens,
		Self:           e.instance,
		ActiveDocument: &e.document,
		Members:        &e.members,
		Pool:           &e.pool,
		Meter:          &e.meter,
		Clock:          e.Clock,
		Log:            e.Log,

		Documents: documents{e},
		Drains:    drains{&e.drains},
		Orders:    orders{&e.orders},

		Quarantine: quarantineAdmin{&e.quarantine},
	}
	return s.Handler()
}

// instance returns this entry with its current state.
func (e *Entry) instance() core.Instance {
	self := e.members.Self
	self.State = e.state()
	return self
}
