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

// The exit codes beside those of package args.
const (
	exitConflict = 3
	exitUnsure   = 4
)

// desk is what the commands share: the flags, the client and the output.
type desk struct {
	client.Client
	call  *args.Call
	flags *flag.FlagSet

	tokenFile string
	ca        string
	json      bool
	timeout   time.Duration
	// expect, state and outcome are flags of single commands.
	expect  int64
	state   string
	outcome string
}

// defaultTimeout bounds a command. It is over the 12 s within which a
// document is in force everywhere.
const defaultTimeout = 15 * time.Second

// spec describes a command.
type spec struct {
	name string
	help string
	// argument names the one argument that the command takes; empty is none.
	argument string
	// flags, if not nil, adds flags of the command's own.
	flags func(d *desk)
	run   func(ctx context.Context, d *desk) int
}

// command returns the command that parses the flags and runs s.
func (s spec) command() args.Command {
	return args.Command{Name: s.name, Help: s.help, Run: func(ctx context.Context, c *args.Call) int {
		d := newDesk(c, s.argument)
		if s.flags != nil {
			s.flags(d)
		}
		if status, ok := d.open(s.argument); !ok {
			return status
		}
		ctx, cancel := context.WithTimeout(ctx, d.timeout)
		defer cancel()
		return s.run(ctx, d)
	}}
}

func commandsOf(specs ...spec) []args.Command {
	all := make([]args.Command, len(specs))
	for i, s := range specs {
		all[i] = s.command()
	}
	return all
}

// newDesk returns a desk with the flags that every command takes.
func newDesk(c *args.Call, argument string) *desk {
	d := &desk{call: c, flags: c.Flags(argument)}
	d.flags.StringVar(&d.Base, "admin", "http://127.0.0.1:7001", "`URL` of an entry's operators' listener")
	d.flags.StringVar(&d.tokenFile, "token-file", "", "`file` that holds the operator's token")
	d.flags.StringVar(&d.ca, "ca", "", "`file` of the authorities to trust, PEM; the machine's own if empty")
	d.flags.BoolVar(&d.json, "json", false, "print JSON")
	d.flags.DurationVar(&d.timeout, "timeout", defaultTimeout, "time for the whole command")
	return d
}

// open parses the command line and prepares the client. If ok is false, the
// command must end with status.
func (d *desk) open(argument string) (status int, ok bool) {
	n := 0
	if argument != "" {
		n = 1
	}
	if status, ok := d.call.Parse(d.flags, n); !ok {
		return status, false
	}
	if d.tokenFile == "" {
		return d.call.Misused("flag -token-file: missing"), false
	}
	if d.timeout <= 0 {
		return d.call.Misused("flag -timeout: want more than zero"), false
	}
	var err error
	if d.Token, err = client.ReadToken(d.tokenFile); err != nil {
		return d.call.Misused("flag -token-file: %v", err), false
	}
	d.HTTP = &http.Client{}
	if d.ca != "" {
		if d.HTTP, err = client.Trusting(d.ca); err != nil {
			return d.call.Misused("flag -ca: %v", err), false
		}
	}
	return args.ExitOK, true
}

// argument returns the command's argument.
func (d *desk) argument() string { return d.flags.Arg(0) }

// fail writes why the command failed and returns its exit code.
func (d *desk) fail(err error) int {
	d.call.Fail(err)
	switch {
	case codes.Has(err, codes.Conflict):
		return exitConflict
	case codes.Has(err, codes.PublishUnsure):
		return exitUnsure
	}
	return args.ExitFail
}

// show prints v as JSON if that is asked for, else by table.
func (d *desk) show(v any, table func(w *tabwriter.Writer)) int {
	if d.json {
		enc := json.NewEncoder(d.call.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return d.fail(err)
		}
		return args.ExitOK
	}
	w := tabwriter.NewWriter(d.call.Out, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return d.fail(err)
	}
	return args.ExitOK
}

// say prints a line, or v as JSON.
func (d *desk) say(v any, format string, a ...any) int {
	return d.show(v, func(w *tabwriter.Writer) { fmt.Fprintf(w, format+"\n", a...) })
}
