package entry

// gauges registers what an operator watches beside the counters.
func (e *Entry) gauges() {
	for name, read := range map[string]func() int64{
		"document_version":   e.book.Version,
		"drains_in_force":    func() int64 { return int64(len(e.drains.List())) },
		"requests_in_flight": func() int64 { return int64(e.flights.Len()) },
		"leaving":            func() int64 { return bit(e.leaving.Load()) },
	} {
		e.meter.Gauge(name, func() float64 { return float64(read()) })
	}
}

func bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
