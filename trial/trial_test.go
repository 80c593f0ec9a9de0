package trial_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

func TestEveryEntryReturnsWholeAnswer(t *testing.T) {
	is := is.New(t)
	cluster, err := trial.Start(trial.Plan{
		Entries: 2, Prefills: 1, Decodes: 1, Speed: fake.Speed{StepTime: 1, PrefillRate: 100}, Linger: 1,
	})
	is.NoErr(err)
	defer cluster.Stop()
	const n = 20
	prompt := strings.Repeat("Thanks for the harvest. ", 40)
	want := strings.Join(fake.Answer(prompt, n), "")
	for i := range cluster.Entries {
		for _, stream := range []bool{false, true} {
			r, err := cluster.Client(i).Complete(context.Background(), trial.Request{
				Model: trial.Model, Prompt: prompt, MaxTokens: n, Stream: stream,
			}, nil)
			is.NoErr(err)
			is.Equal(r.Text, want)
		}
	}
	is.Equal(cluster.Decodes[0].HeldPieces(), 0)
}
