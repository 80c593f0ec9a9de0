package entry

// registerGauges registers the gauges of the entry's current state.
func (e *Entry) registerGauges() {
	for name, read := range map[string]func() int64{
		"document_version":   e.document.Version,
		"drains_in_force":    func() int64 { return int64(len(e.drains.List())) },
		"requests_in_flight": func() int64 { return int64(e.inFlight.Len()) },
		"leaving":            func() int64 { return boolToInt(e.leaving.Load()) },
	} {
		e.meter.Gauge(name, func() float64 { return float64(read()) })
	}
}

// boolToInt returns 1 for true and 0 for false, as the value of a gauge.
func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
