// Package logs makes the log of a process: one JSON object a line on standard
// output.
//
// Writing never blocks a request: lines wait in memory, up to a bound, and a
// thread of its own writes them. Lines over the bound are left out and
// counted. Of the lines with the same message, those beyond a rate are left
// out and counted too; the counts are logged.
//
// # Usage
//
//	l, err := logs.New(os.Stdout, "info")
//	defer l.Close()
//	l.Logger.Info("entry: serving")
package logs
