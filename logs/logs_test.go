package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/logs"
)

// blockingWriter is a writer that blocks until its gate, if any, is closed.
type blockingWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

// Write implements [io.Writer].
func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.gate != nil {
		<-w.gate
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestLinesAreWritten checks that Close writes the buffered lines, that lines
// below the level are omitted, and that logging after Close doesn't panic.
func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out blockingWriter
	l, err := logs.New(&out, "")
	is.NoErr(err)
	l.Logger.Debug("not this")
	l.Logger.Info("edge: started", zap.String("instance", "a"))
	l.Close()
	is.Equal(strings.Count(out.text.String(), "\n"), 1)
	is.True(strings.Contains(out.text.String(), `"msg":"edge: started","instance":"a"`))
	l.Logger.Info("after the end") // doesn't panic
}

// TestBadLevel checks that New rejects an unknown level.
func TestBadLevel(t *testing.T) {
	_, err := logs.New(&blockingWriter{}, "loud")
	is.New(t).True(err != nil)
}

// TestWritingNeverBlocks fills the buffer of a log whose writer blocks. Logging
// must drop lines instead of waiting.
func TestWritingNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{gate: make(chan struct{})}
	l, err := logs.New(out, "")
	is.NoErr(err)
	long := strings.Repeat("x", 10_000)
	start := time.Now()
	for i := range 250 {
		l.Logger.Info("line", zap.String("text", long), zap.Int("n", i))
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(l.Dropped() > 0)
	close(out.gate)
	l.Close()
}

// TestAFloodIsSampledAndCounted checks that frequent lines with the same
// message are sampled and that the dropped ones are counted.
func TestAFloodIsSampledAndCounted(t *testing.T) {
	is := is.New(t)
	var out blockingWriter
	l, err := logs.New(&out, "")
	is.NoErr(err)
	const lines = 20_000
	for range lines {
		l.Logger.Info("the same")
	}
	l.Logger.Info("another")
	l.Close()
	written := strings.Count(out.text.String(), "the same")
	is.True(written < lines/5)
	is.Equal(int64(lines-written), l.Dropped())
	is.True(strings.Contains(out.text.String(), "another"))
}

// TestCloseEndsWithBlockedWriter guards against a process that doesn't exit after its stop
// because nobody reads its log.
func TestCloseEndsWithBlockedWriter(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{gate: make(chan struct{})}
	defer close(out.gate)
	l, err := logs.New(out, "")
	is.NoErr(err)
	l.Logger.Info("edge: stopped")
	closed := make(chan struct{})
	go func() { l.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("Close waits for the writer")
	}
}
