package gossip_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// TestMessagesOfManyEntries measures the rate at which an entry sends
// heartbeats while nothing changes, and while its state changes all the time.
func TestMessagesOfManyEntries(t *testing.T) {
	for _, size := range []int{9, 27, 90} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			var names []string
			var list []core.Instance
			for i := range size {
				names = append(names, fmt.Sprintf("e%03d", i))
				list = append(list, instance(names[i]))
			}
			n, tables := start(t, nil, names...)
			for _, table := range tables {
				table.Merge(list)
			}
			until(t, func() bool {
				for _, table := range tables {
					if len(table.Live()) != size-1 {
						return false
					}
				}
				return true
			})
			sender := names[size/2]
			c := clock.Clock{}
			// rate returns the heartbeats that one entry sends per second.
			rate := func(d clock.Millis, each func()) int {
				before, begun := n.sentBy(sender), c.Now()
				for c.Now() < begun+d {
					each()
					_ = c.Sleep(t.Context(), 5)
				}
				return (n.sentBy(sender) - before) * 1000 / int(c.Now()-begun)
			}
			idle := rate(4000, func() {})
			busy := rate(2000, func() { tables[sender].Trigger() })
			t.Logf("%d entries: each sends %d heartbeats per second when idle, %d while its work changes all the time", size, idle, busy)
			is.True(idle <= 60)
			is.True(busy <= 900)
			for _, table := range tables {
				is.Equal(len(table.Live()), size-1)
				is.Equal(table.MaxEntries(), size)
			}
		})
	}
}
