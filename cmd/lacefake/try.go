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

// tryStep is one check of the command try, and one line of its output.
type tryStep struct {
	name string
	run  func(ctx context.Context, s *trial.Cluster) (result string, err error)
}

var trySteps = []tryStep{
	{"addresses", tryAddresses},
	{"verse, whole", tryWhole},
	{"verse, streamed", tryStreamed},
	{"lookup", tryLookup},
	{"order, sent twice", tryOrder},
	{"resume after an entry is killed", tryResume},
}

// tryTimeout is the deadline of all steps together.
const tryTimeout = 20 * clock.Second

// runTry starts all parts in one process and runs the steps.
func runTry(ctx context.Context, args []string) int {
	if status, ok := parseFlags(flag.NewFlagSet("lacefake try", flag.ContinueOnError), args); !ok {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Duration())
	defer cancel()
	set, err := trial.Start(trial.Plan{
		Entries: 3, Prefills: 2, Decodes: 2, Services: 1,
		Speed: fake.Speed{StepTime: 5, PrefillRate: 20}, Linger: 1,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake try:", err)
		return exitFail
	}
	defer set.Stop()
	return runSteps(ctx, set)
}

// runSteps runs each step once and prints its outcome and duration.
func runSteps(ctx context.Context, set *trial.Cluster) int {
	status := exitOK
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, st := range trySteps {
		start := time.Now()
		result, err := st.run(ctx, set)
		outcome := "ok"
		if err != nil {
			outcome, result, status = "FAILED", err.Error(), exitFail
		}
		fmt.Fprintf(w, "%s\t%s\t%d ms\t%s\n", st.name, outcome, time.Since(start).Milliseconds(), result)
	}
	return status
}

// versePrompt is the prompt of the model calls, with 2,000 tokens.
var versePrompt = strings.Repeat("A card for a harvest home, kind and plain. ", 186)

// verseTokens is the number of tokens in the answer.
const verseTokens = 40

// tryAddresses waits until an entry lists the addresses of all entries.
func tryAddresses(ctx context.Context, s *trial.Cluster) (string, error) {
	var addrs []string
	err := trial.WaitUntil(ctx, func() bool {
		var err error
		addrs, err = s.Client(0).Addresses(ctx)
		return err == nil && len(addrs) == len(s.Entries)
	})
	return fmt.Sprintf("%d entries", len(addrs)), err
}

// tryWhole requests an answer in one response.
func tryWhole(ctx context.Context, s *trial.Cluster) (string, error) {
	return tryVerse(ctx, s.Client(0), false)
}

// tryStreamed requests a streamed answer.
func tryStreamed(ctx context.Context, s *trial.Cluster) (string, error) {
	return tryVerse(ctx, s.Client(1), true)
}

// tryVerse requests an answer and checks it.
func tryVerse(ctx context.Context, c *trial.Client, stream bool) (string, error) {
	r, err := c.Complete(ctx, trial.Request{
		Model: trial.Model, Prompt: versePrompt, MaxTokens: verseTokens, Stream: stream,
	}, nil)
	if err != nil {
		return "", err
	}
	if err := checkVerse(r); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tokens, as the engine generated them", verseTokens), nil
}

// checkVerse compares a reply with the answer that every fake engine generates
// for the prompt.
func checkVerse(r *trial.Reply) error {
	if r.Text != strings.Join(fake.Answer(versePrompt, verseTokens), "") {
		return errors.New("the answer differs from the one that the engine generates")
	}
	return nil
}

// tryLookup makes a read call of the plain service.
func tryLookup(ctx context.Context, s *trial.Cluster) (string, error) {
	return callService(ctx, s.Client(2), http.MethodGet, "/stock/burr", "")
}

// tryResume kills the last entry in the middle of a stream and resumes the
// stream at the first entry.
func tryResume(ctx context.Context, s *trial.Cluster) (string, error) {
	last := len(s.Entries) - 1
	killed := 0
	r, err := s.Client(last).Complete(ctx, trial.Request{
		Model: trial.Model, Prompt: versePrompt, MaxTokens: verseTokens, Stream: true,
	}, func(r *trial.Reply) {
		if len(r.Tokens) == verseTokens/4 {
			killed = len(r.Tokens)
			s.Entries[last].Kill()
		}
	})
	if err == nil || killed == 0 {
		return "", errors.New("the stream was not interrupted")
	}
	r, err = s.Client(0).Resume(ctx, r, nil)
	if err != nil {
		return "", err
	}
	if err := checkVerse(r); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d tokens, %d of them before the interruption", verseTokens, killed), nil
}
