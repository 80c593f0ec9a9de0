package events_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/events"
)

// scan reads text in parts of the given size and returns the texts of its events, the
// last event and the error.
func scan(s *events.Scanner, text string, size int) (texts []string, last events.Event, err error) {
	data := []byte(text)
	start, end := 0, 0
	for end < len(data) {
		n, e, ok, err := s.Next(data[end:min(end+size, len(data))])
		end += n
		if err != nil {
			return texts, last, err
		}
		if ok {
			texts, last, start = append(texts, text[start:end]), e, end
		}
	}
	return texts, last, nil
}

// TestEventsInParts checks that events are found wherever the parts of a stream end.
func TestEventsInParts(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		events int
		last   events.Event
	}{
		"LF":                   {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, events.Event{ID: "2", Data: true}},
		"CRLF":                 {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 2, events.Event{ID: "2", Data: true}},
		"a comment":            {": ping\n\n", 1, events.Event{}},
		"data without a value": {"data\n\n", 1, events.Event{Data: true}},
		"a head":               {"HTTP/1.1 500 Oops\r\nLength: 2\r\n\r\n", 1, events.Event{Foreign: true}},
		"unknown fields only":  {"a: b\n\n", 1, events.Event{Foreign: true}},
		"an unknown field":     {"a: b\nid: 1\ndata: x\n\n", 1, events.Event{ID: "1", Data: true}},
		"a long line of data":  {"id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n", 1, events.Event{ID: "1", Data: true}},
		"an ID over 500 bytes": {"id: " + strings.Repeat("1", 600) + "\ndata: x\n\n", 1, events.Event{ID: strings.Repeat("1", 508), Data: true, Foreign: true}},
	} {
		for size := 1; size <= len(c.text); size = size*2 + 1 {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var s events.Scanner
				texts, last, err := scan(&s, c.text, size)
				is.NoErr(err)
				is.Equal(len(texts), c.events)
				is.Equal(strings.Join(texts, ""), c.text)
				is.Equal(last, c.last)
				is.True(!s.Partial())
			})
		}
	}
}

// TestBounds checks that a stream ends with an error at its bounds, and not before.
func TestBounds(t *testing.T) {
	longest := "data: " + strings.Repeat("x", events.DefaultMaxEvent-8) + "\n\n"
	for name, c := range map[string]struct {
		text string
		err  error
	}{
		"the longest event":            {longest, nil},
		"an event too long":            {"x" + longest, events.ErrNoEvents},
		"data too long":                {"data: x" + longest, events.ErrEventTooLong},
		"lines of data too long":       {strings.Repeat("data: x\n", events.DefaultMaxEvent/8+1), events.ErrEventTooLong},
		"a line that is no field":      {strings.Repeat("x", events.DefaultMaxFiller+1), events.ErrNoEvents},
		"comments":                     {strings.Repeat(": ping\n\n", events.DefaultMaxFiller/8), nil},
		"comments too long":            {strings.Repeat(": ping\n\n", events.DefaultMaxFiller/8+1), events.ErrNoEvents},
		"blank lines":                  {strings.Repeat("\n", events.DefaultMaxFiller+1), events.ErrNoEvents},
		"other text":                   {strings.Repeat("x\n\n", events.DefaultMaxFiller/3+1), events.ErrNoEvents},
		"unknown fields":               {strings.Repeat("x: y\n", events.DefaultMaxFiller/5+1), events.ErrNoEvents},
		"an event among many comments": {strings.Repeat(strings.Repeat(": ping\n\n", 1000)+"id: 1\ndata: x\n\n", 20), nil},
	} {
		for _, size := range []int{1, 4096, len(c.text)} {
			var s events.Scanner
			_, _, err := scan(&s, c.text, size)
			if !errors.Is(err, c.err) {
				t.Errorf("%s, in parts of %d: %v, want %v", name, size, err, c.err)
			}
		}
	}
}
