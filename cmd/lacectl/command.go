package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/codes"
)

// Exit codes in addition to those of package args.
const (
	exitConflict    = 3
	exitUnconfirmed = 4
)

// command is one invocation of a command: its flags, the client and the output.
type command struct {
	client.Client
	call  *args.Call
	flags *flag.FlagSet

	// open is set if the listener needs no token.
	open      bool
	tokenFile string
	ca        string
	printJSON bool
	timeout   time.Duration
	// expect, state, outcome and explain are flags that only one command has.
	expect  int64
	state   string
	outcome string
	explain explainFlags
}

// defaultTimeout is the default deadline of a command. It exceeds the 12 s
// within which every entry activates a published document.
const defaultTimeout = 15 * time.Second

// commandSpec describes a command.
type commandSpec struct {
	name string
	help string
	// argument is the name of the command's only argument, empty for none.
	argument string
	// addFlags, if not nil, adds the flags that only this command has.
	addFlags func(c *command)
	run      func(ctx context.Context, c *command) int
}

// build returns a command that parses the flags and calls run.
func (s commandSpec) build() args.Command {
	return args.Command{Name: s.name, Help: s.help, Run: func(ctx context.Context, call *args.Call) int {
		c := newCommand(call, s.argument)
		if s.addFlags != nil {
			s.addFlags(c)
		}
		if status, ok := c.prepare(s.argument); !ok {
			return status
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return s.run(ctx, c)
	}}
}

// commandsOf builds the commands of a group.
func commandsOf(specs ...commandSpec) []args.Command {
	all := make([]args.Command, len(specs))
	for i, s := range specs {
		all[i] = s.build()
	}
	return all
}

// newCommand returns a command with the flags that all commands share.
func newCommand(call *args.Call, argument string) *command {
	c := &command{call: call, flags: call.Flags(argument)}
	c.flags.StringVar(&c.Base, "admin", "http://127.0.0.1:7001", "`URL` of the operators' listener of an entry")
	c.flags.StringVar(&c.tokenFile, "token-file", "", "`file` with the operator's token")
	c.flags.StringVar(&c.ca, "ca", "", "PEM `file` with the trusted authorities; the system's own if empty")
	c.flags.BoolVar(&c.printJSON, "json", false, "print JSON")
	c.flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "deadline of the whole command")
	return c
}

// prepare parses the command line and sets up the client. If ok is false, the
// command must exit with status.
func (c *command) prepare(argument string) (status int, ok bool) {
	n := 0
	if argument != "" {
		n = 1
	}
	if status, ok := c.call.Parse(c.flags, n); !ok {
		return status, false
	}
	if c.tokenFile == "" && !c.open {
		return c.call.UsageError("flag -token-file: missing"), false
	}
	if c.timeout <= 0 {
		return c.call.UsageError("flag -timeout: want more than zero"), false
	}
	var err error
	if c.tokenFile != "" {
		if c.Token, err = client.ReadToken(c.tokenFile); err != nil {
			return c.call.UsageError("flag -token-file: %v", err), false
		}
	}
	c.HTTP = &http.Client{}
	if c.ca != "" {
		if c.HTTP, err = client.Trusting(c.ca); err != nil {
			return c.call.UsageError("flag -ca: %v", err), false
		}
	}
	return args.ExitOK, true
}

// argument returns the only argument of the command.
func (c *command) argument() string { return c.flags.Arg(0) }

// fail prints the error and returns the exit code for it.
func (c *command) fail(err error) int {
	c.call.Fail(err)
	switch {
	case codes.Has(err, codes.Conflict):
		return exitConflict
	case codes.Has(err, codes.PublishUnsure):
		return exitUnconfirmed
	}
	return args.ExitFail
}

// print prints v as JSON with the flag -json, else the text that table writes.
func (c *command) print(v any, table func(w *tabwriter.Writer)) int {
	if c.printJSON {
		enc := json.NewEncoder(c.call.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return c.fail(err)
		}
		return args.ExitOK
	}
	w := tabwriter.NewWriter(c.call.Out, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	return args.ExitOK
}

// printLine prints v as JSON with the flag -json, else one formatted line.
func (c *command) printLine(v any, format string, a ...any) int {
	return c.print(v, func(w *tabwriter.Writer) { fmt.Fprintf(w, format+"\n", a...) })
}
