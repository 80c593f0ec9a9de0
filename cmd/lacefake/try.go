package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// tryStep is one line of the table that try prints.
type tryStep struct {
	name string
	run  func(ctx context.Context, s *trial.Set) (seen string, err error)
}

var trySteps = []tryStep{
	{"addresses", tryAddresses},
	{"verse, whole", tryWhole},
	{"verse, streamed", tryStreamed},
	{"lookup", tryLookup},
	{"order, sent twice", tryOrder},
	{"resume after an entry is gone", tryResume},
}

// tryTimeout bounds the whole of try.
const tryTimeout = 20 * clock.Second

func runTry(ctx context.Context, args []string) int {
	if status, ok := parse(flag.NewFlagSet("lacefake try", flag.ContinueOnError), args); !ok {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Std())
	defer cancel()
	set, err := trial.Start(trial.Plan{
		Entries: 3, Prefills: 2, Decodes: 2, Services: 1,
		Speed: fake.Speed{Step: 5, Prefill: 20}, Linger: 1,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake try:", err)
		return exitFail
	}
	defer set.Stop()
	return runSteps(ctx, set)
}

func runSteps(ctx context.Context, set *trial.Set) int {
	status := exitOK
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, st := range trySteps {
		start := time.Now()
		seen, err := st.run(ctx, set)
		outcome := "ok"
		if err != nil {
			outcome, seen, status = "FAILED", err.Error(), exitFail
		}
		fmt.Fprintf(w, "%s\t%s\t%d ms\t%s\n", st.name, outcome, time.Since(start).Milliseconds(), seen)
	}
	return status
}

// versePrompt is the prompt that try sends: 2,000 tokens of house style and wishes.
var versePrompt = strings.Repeat("A card for a harvest home, kind and plain. ", 186)

const verseTokens = 40

func tryAddresses(ctx context.Context, s *trial.Set) (string, error) {
	var addrs []string
	err := trial.Until(ctx, func() bool {
		var err error
		addrs, err = s.Client(0).Addresses(ctx)
		return err == nil && len(addrs) == len(s.Entries)
	})
	return fmt.Sprintf("%d entries", len(addrs)), err
}

func tryWhole(ctx context.Context, s *trial.Set) (string, error) {
	return tryVerse(ctx, s.Client(0), false)
}

func tryStreamed(ctx context.Context, s *trial.Set) (string, error) {
	return tryVerse(ctx, s.Client(1), true)
}

func tryVerse(ctx context.Context, c *trial.Client, stream bool) (string, error) {
	r, err := c.Complete(ctx, trial.Ask{
		Model: trial.Model, Prompt: versePrompt, MaxTokens: verseTokens, Stream: stream,
	}, nil)
	if err != nil {
		return "", err
	}
	if err := checkVerse(r); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tokens, the engine's own", verseTokens), nil
}

// checkVerse holds a reply against the answer that every engine gives.
func checkVerse(r *trial.Reply) error {
	if r.Text != strings.Join(fake.Answer(versePrompt, verseTokens), "") {
		return errors.New("the answer is not the one that the engine gives")
	}
	return nil
}

func tryLookup(ctx context.Context, s *trial.Set) (string, error) {
	return callService(ctx, s.Client(2), http.MethodGet, "/stock/burr", "")
}

// tryResume kills the last entry in the middle of an answer and goes on at the
// first one.
func tryResume(ctx context.Context, s *trial.Set) (string, error) {
	last := len(s.Entries) - 1
	killed := 0
	r, err := s.Client(last).Complete(ctx, trial.Ask{
		Model: trial.Model, Prompt: versePrompt, MaxTokens: verseTokens, Stream: true,
	}, func(r *trial.Reply) {
		if len(r.Tokens) == verseTokens/4 {
			killed = len(r.Tokens)
			s.Entries[last].Kill()
		}
	})
	if err == nil || killed == 0 {
		return "", errors.New("the answer was not cut")
	}
	r, err = s.Client(0).Resume(ctx, r, nil)
	if err != nil {
		return "", err
	}
	if err := checkVerse(r); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tokens, %d of them before", verseTokens, killed), nil
}
