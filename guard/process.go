package guard

import (
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/spool"
)

// Process holds what the guards of a process's listeners share. It must not be copied after
// its first use.
type Process struct {
	// Limits returns the limits in force.
	Limits func() core.InputLimits
	// Heads bounds the memory of the heads at all listeners.
	Heads spool.Pool
	Meter *meter.Registry
	Log   *zap.Logger
}

// Add sets what the guards share and adds their gauges to the metrics.
func (p *Process) Add(guards ...*Guard) {
	p.Meter.Gauge("heads_held_bytes", func() float64 { return float64(p.Heads.Used()) })
	for _, g := range guards {
		g.Limits, g.Heads, g.Meter, g.Log = p.Limits, &p.Heads, p.Meter, p.Log
		p.Meter.Gauge("connections", func() float64 { return float64(g.Len()) }, "listener", g.Name)
	}
}
