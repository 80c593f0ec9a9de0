package entry_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lacewinghook.example/lacewinghook/client"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/trial"
)

// text is a [zapcore.WriteSyncer] that collects the log in memory.
type text struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (t *text) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.Write(p)
}

func (t *text) Sync() error { return nil }

func (t *text) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}

// TestLogHoldsNoSecret makes successful and failing calls with every kind of
// secret and checks that the debug log contains none of them.
func TestLogHoldsNoSecret(t *testing.T) {
	is := is.New(t)
	secrets := []string{trial.CallerKey, trial.OperatorToken, "wrong-key", "wrong-token", "platform-secret", "idem-key", "grandmother", "card-for-aunt"}
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("platform-secret\n"), 0o600))
	out := &text{}
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	set, err := trial.Start(trial.Plan{
		Entries: 2, Prefills: 1, Decodes: 1, Services: 1, Linger: 1,
		Log:        zap.New(zapcore.NewCore(enc, out, zap.DebugLevel)),
		SetupEntry: func(s *config.Settings) { s.Platform.Token = file },
	})
	is.NoErr(err)
	stop := sync.OnceFunc(set.Stop)
	t.Cleanup(stop)
	ctx := context.Background()
	c := set.Client(0)
	for _, key := range []string{trial.CallerKey, "wrong-key"} {
		c.Key = key
		_, _ = c.Complete(ctx, trial.Request{Model: trial.Model, Prompt: "dear grandmother", MaxTokens: 2}, nil)
		_, _ = c.Complete(ctx, trial.Request{Model: "grandmother", Prompt: "x"}, nil)
		_, _ = c.CallService(ctx, http.MethodPost, "/orders", "idem-key", []byte("card-for-aunt"))
		_, _ = c.CallService(ctx, http.MethodPost, "/orders", "", []byte("card-for-aunt"))
	}
	set.Decodes[0].Faults.Set(fake.Faults{CutByte: 9, CutTimes: 100})
	set.Services[0].Faults.Set(fake.Faults{LoseAnswers: 5})
	set.Platform.Faults.Add(pltsim.Fault{Kind: pltsim.Unavailable})
	c.Key = trial.CallerKey
	_, _ = c.Complete(ctx, trial.Request{Model: trial.Model, Prompt: "dear grandmother", MaxTokens: 2}, nil)
	_, _ = c.CallService(ctx, http.MethodPost, "/orders", "idem-key-2", []byte("card-for-aunt"))
	for _, token := range []string{trial.OperatorToken, "wrong-token"} {
		op := client.Client{Base: "http://" + set.Entries[0].AdminAddr, Token: token}
		_, _ = op.Status(ctx)
		_, _ = op.Publish(ctx, &set.Doc, 1)
	}
	stop()
	log := out.String()
	is.True(strings.Contains(log, "entry: serving"))
	is.True(strings.Contains(log, "front: a request failed"))
	for _, s := range secrets {
		is.True(!strings.Contains(log, s))
	}
}
