package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/trial"
)

// askTimeout is the deadline for one call, including the time until the entry
// has started.
const askTimeout = 15 * clock.Second

// runAsk makes one call to an entry and checks the answer.
func runAsk(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake ask", flag.ContinueOnError)
	c := &trial.Client{}
	fs.StringVar(&c.Addr, "entry", "", "address of an entry")
	fs.StringVar(&c.Key, "key", trial.CallerKey, "workspace key")
	kind := fs.String("kind", "verse", "addresses, verse, stream, lookup or order")
	key := fs.String("idempotency-key", "ask-1", "idempotency key of an order")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	result, err := callKind(ctx, c, *kind, *key)
	if err != nil {
		fmt.Fprintf(os.Stderr, "lacefake ask: %s: %v\n", *kind, err)
		return exitFail
	}
	fmt.Printf("%s: %s\n", *kind, result)
	return exitOK
}

// callKind waits until the entry is ready, makes a call of the given kind and
// returns a summary of the answer.
func callKind(ctx context.Context, c *trial.Client, kind, key string) (string, error) {
	if err := c.WaitReady(ctx); err != nil {
		return "", err
	}
	switch kind {
	case "addresses":
		addrs, err := c.Addresses(ctx)
		return strings.Join(addrs, " "), err
	case "verse", "stream":
		return tryVerse(ctx, c, kind == "stream")
	case "lookup":
		return callService(ctx, c, http.MethodGet, "/stock/burr", "")
	case "order":
		return callService(ctx, c, http.MethodPost, "/orders", key)
	}
	return "", errors.Errorf("flag -kind: unknown value %q", kind)
}

// callService calls the plain service and returns a summary of its answer. Key
// is the idempotency key, empty for none.
func callService(ctx context.Context, c *trial.Client, method, path, key string) (string, error) {
	a, err := c.CallService(ctx, method, path, key, []byte(`{"card":"harvest","count":1}`))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("run %d of %s", a.Run, a.Path), nil
}
