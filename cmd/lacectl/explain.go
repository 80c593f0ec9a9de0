package main

import (
	"context"
	"encoding/json"
	"net/url"

	"lacewinghook.example/lacewinghook/args"
)

// explainCommands show where a request would go.
var explainCommands = commandsOf(
	commandSpec{name: "explain", help: "show where a request would go now, and why, without sending it", addFlags: addExplainFlags, run: explain},
)

// explainFlags describe the request.
type explainFlags struct {
	addr, host, path, workspace, tokens, id string
}

// addExplainFlags adds the flags of the command, which needs no token.
func addExplainFlags(c *command) {
	f := &c.explain
	c.flags.StringVar(&f.addr, "addr", "127.0.0.1:9464", "`HOST:PORT` of the metrics listener of an entry")
	c.flags.StringVar(&f.host, "host", "", "`host` of the request")
	c.flags.StringVar(&f.path, "path", "", "`path` of the request")
	c.flags.StringVar(&f.workspace, "workspace", "", "`name` of the workspace, none if empty")
	c.flags.StringVar(&f.tokens, "tokens", "", "`IN,OUT`, the prompt tokens and the maximum output tokens that the request states")
	c.flags.StringVar(&f.id, "id", "", "`ID` to repeat in the output")
	c.open = true
}

// explain prints the entry's explanation as indented JSON.
func explain(ctx context.Context, c *command) int {
	f := &c.explain
	if f.host == "" || f.path == "" {
		return c.call.UsageError("flags -host and -path: missing")
	}
	q := url.Values{"host": {f.host}, "path": {f.path}}
	for name, value := range map[string]string{"workspace": f.workspace, "tokens": f.tokens, "id": f.id} {
		if value != "" {
			q.Set(name, value)
		}
	}
	c.Base = "http://" + f.addr
	page, err := c.Explain(ctx, q)
	if err != nil {
		return c.fail(err)
	}
	enc := json.NewEncoder(c.call.Out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(page); err != nil {
		return c.fail(err)
	}
	return args.ExitOK
}
