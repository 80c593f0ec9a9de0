// Package logs writes the log of a process to standard output, one JSON object
// per line.
//
// Logging never blocks a request: lines are buffered in memory, and a separate
// goroutine writes them. Lines that exceed the size limit of the buffer are
// dropped. Lines with the same message are sampled above a rate limit. All
// dropped lines are counted, and the counts are logged.
//
// # Usage
//
//	l, err := logs.New(os.Stdout, "info")
//	defer l.Close()
//	l.Logger.Info("entry: serving")
package logs
