package resume_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/resume"
)

// TestAccept checks which events of one answer a caller gets, and what is known then.
func TestAccept(t *testing.T) {
	for name, c := range map[string]struct {
		// last is the ID after which the answer begins, and ids are those of its
		// events, of which accepted are accepted before the first refusal.
		// step is that of other streams.
		last     string
		step     uint64
		ids      []string
		accepted int
		// lastID and unordered are the state at the end.
		lastID    string
		unordered bool
	}{
		"in order":                      {ids: []string{"1", "2", "3"}, accepted: 3, lastID: "3"},
		"begins at any number":          {ids: []string{"40", "41"}, accepted: 2, lastID: "41"},
		"gap in a first answer":         {ids: []string{"1", "2", "4"}, accepted: 3, lastID: "4", unordered: true},
		"two steps in a first answer":   {ids: []string{"1", "3", "4"}, accepted: 3, lastID: "4", unordered: true},
		"a step of its own":             {ids: []string{"10", "20", "30"}, accepted: 3, lastID: "30"},
		"another step than others":      {step: 10, ids: []string{"1", "2", "3"}, accepted: 3, lastID: "3"},
		"resumed, step of others":       {last: "70", step: 10, ids: []string{"80", "90"}, accepted: 2, lastID: "90"},
		"resumed, less than the step":   {last: "70", step: 10, ids: []string{"71"}, lastID: "70"},
		"resumed, twice the step":       {last: "70", step: 10, ids: []string{"90"}, lastID: "70"},
		"resumed, then another step":    {last: "70", step: 10, ids: []string{"80", "81"}, accepted: 1, lastID: "80"},
		"repeated in a first answer":    {ids: []string{"1", "1"}, accepted: 2, lastID: "1", unordered: true},
		"no IDs":                        {ids: []string{"", ""}, accepted: 2, unordered: true},
		"an event without ID":           {ids: []string{"1", "", "2"}, accepted: 3, lastID: "2", unordered: true},
		"IDs that aren't numbers":       {ids: []string{"a", "b"}, accepted: 2, lastID: "b", unordered: true},
		"last event without ID":         {ids: []string{"1", ""}, accepted: 2, lastID: "1", unordered: true},
		"negative":                      {ids: []string{"-1"}, accepted: 1, lastID: "-1", unordered: true},
		"resumed in order":              {last: "7", ids: []string{"8", "9"}, accepted: 2, lastID: "9"},
		"resumed with a gap":            {last: "7", ids: []string{"9"}, lastID: "7"},
		"resumed with a repeated event": {last: "7", ids: []string{"7", "8"}, lastID: "7"},
		"resumed from the start":        {last: "7", ids: []string{"1"}, lastID: "7"},
		"resumed without IDs":           {last: "7", ids: []string{""}, lastID: "7"},
		"resumed, then a gap":           {last: "7", ids: []string{"8", "10"}, accepted: 1, lastID: "8"},
		"after an ID that is no number": {last: "a", ids: []string{"1", "2"}, accepted: 2, lastID: "2"},
		"no event":                      {last: "7", lastID: "7"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := resume.Place{LastID: c.last, Step: c.step}
			p.Begin()
			var err error
			for _, id := range c.ids {
				if err = p.Accept(id); err != nil {
					break
				}
			}
			is.Equal(p.Events, c.accepted)
			is.Equal(err == resume.ErrNotNext, c.accepted < len(c.ids))
			is.Equal(p.LastID, c.lastID)
			is.Equal(p.Unordered, c.unordered)
		})
	}
}

// TestBegin checks that the next answer continues where the one before it ended, and that
// a stream stays unordered.
func TestBegin(t *testing.T) {
	is := is.New(t)
	var p resume.Place
	p.Begin()
	is.NoErr(p.Accept("1"))
	is.NoErr(p.Accept("2"))
	is.NoErr(p.Accept("4"))
	p.Begin()
	is.Equal(p.Events, 0)
	is.True(p.Unordered)
	is.Equal(p.Learned(), uint64(0))
	is.Equal(p.Accept("6"), resume.ErrNotNext)
	is.NoErr(p.Accept("5"))
	is.Equal(p.Events, 1)
	is.Equal(p.LastID, "5")
}

// TestStep checks that a stream whose IDs increase by more than one continues with the
// next of them only.
func TestStep(t *testing.T) {
	is := is.New(t)
	var p resume.Place
	p.Begin()
	is.NoErr(p.Accept("10"))
	is.Equal(p.Learned(), uint64(0))
	is.NoErr(p.Accept("20"))
	is.Equal(p.Learned(), uint64(10))
	p.Begin()
	for _, id := range []string{"10", "20", "21", "40"} {
		is.Equal(p.Accept(id), resume.ErrNotNext)
	}
	is.NoErr(p.Accept("30"))
	is.NoErr(p.Accept("40"))
	is.Equal(p.Accept("41"), resume.ErrNotNext)
	is.True(!p.Unordered)
}
