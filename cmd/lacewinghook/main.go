// Lacewinghook runs one entry instance of the router.
//
// # Usage
//
//	lacewinghook serve -config F    serve callers until SIGTERM or SIGINT
//	lacewinghook check -config F    check settings and print every fault
//	lacewinghook version            print the version
//
// Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line.
package main

import (
	"context"
	"os"

	"lacewinghook.example/lacewinghook/args"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code.
func run() int {
	p := args.Program{
		Name:  "lacewinghook",
		Help:  "One entry instance of the router.",
		Notes: "Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line.",
		Commands: []args.Command{
			{Name: "serve", Help: "serve callers until SIGTERM or SIGINT", Run: runServe},
			{Name: "check", Help: "check settings and print every fault with its field", Run: runCheck},
			{Name: "version", Help: "print the version", Run: runVersion},
		},
	}
	return p.Run(context.Background(), os.Args[1:])
}

// parseSettingsFlag parses the flags of a command that reads a settings file. If
// ok is false, the command must exit with status.
func parseSettingsFlag(c *args.Call) (file string, status int, ok bool) {
	fs := c.Flags("")
	fs.StringVar(&file, "config", "", "settings `file`, JSON")
	if status, ok := c.Parse(fs, 0); !ok {
		return "", status, false
	}
	if file == "" {
		return "", c.UsageError("flag -config: missing"), false
	}
	return file, args.ExitOK, true
}
