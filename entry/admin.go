package entry

import (
	"net/http"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

func (e *Entry) operators() http.Handler {
	// Every promise has its counter from the start, so that alerts on a rise
	// see the first violation too.
	for _, p := range meter.Promises {
		e.meter.Add("violations_total", 0, "promise", string(p.Promise))
	}
	e.gauges()
	s := &admin.Server{
		Tokens:  e.Settings.Tokens,
		Self:    e.instance,
		Views:   &e.book,
		Members: &e.members,
		Pool:    &e.pool,
		Meter:   &e.meter,
		Clock:   e.Clock,
		Log:     e.Log,

		Documents: documents{e},
		Drains:    drains{&e.drains},
		Orders:    orders{&e.orders},

		Quarantine: quarantine{&e.suspects},
	}
	return s.Handler()
}

// instance tells of this entry as it is now.
func (e *Entry) instance() core.Instance {
	self := e.members.Self
	self.State = e.state()
	return self
}
