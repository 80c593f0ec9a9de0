package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lacewinghook.example/lacewinghook/clock"
)

// Limits of a log.
const (
	// maxBufferedBytes is the maximum size of the buffer.
	maxBufferedBytes = 1 << 20
	// flushInterval is the time for which lines are collected before they are
	// written in one system call, so that a busy entry makes few of them.
	flushInterval clock.Millis = 100
	// closeTimeout bounds the time in which Close writes the last lines.
	closeTimeout clock.Millis = 200
	// sampleFirst lines of one message are written per second; above that,
	// only one line in sampleThereafter is written.
	sampleFirst      = 300
	sampleThereafter = 20
)

// Log buffers the log lines of a process and writes them in the background.
type Log struct {
	Logger *zap.Logger

	out        io.Writer
	mu         sync.Mutex
	buffer     bytes.Buffer
	spare      bytes.Buffer
	wake       chan struct{}
	quit       chan struct{}
	done       chan struct{}
	closed     atomic.Bool
	overflowed atomic.Int64
	sampledOut atomic.Int64
}

// New returns a log that writes lines at or above the level to out. An empty
// level means info.
func New(out io.Writer, level string) (*Log, error) {
	minLevel := zapcore.InfoLevel
	if level != "" {
		if err := minLevel.Set(level); err != nil {
			return nil, err
		}
	}
	l := &Log{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), l, minLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(l.countSampledOut))
	l.Logger = zap.New(core)
	go l.run()
	return l, nil
}

// countSampledOut is the sampler's hook; it counts the lines that the sampler
// drops.
func (l *Log) countSampledOut(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.sampledOut.Add(1)
	}
}

// Write adds a line to the buffer, or drops it if the buffer is full. It
// implements [zapcore.WriteSyncer].
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.buffer.Len()+len(p) > maxBufferedBytes {
		l.overflowed.Add(1)
	} else {
		l.buffer.Write(p)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Sync implements [zapcore.WriteSyncer]. It does nothing, since lines are
// written after flushInterval anyway.
func (l *Log) Sync() error { return nil }

// Close writes the buffered lines and stops the writer. Later lines are lost. It waits for
// at most closeTimeout, so that a reader that takes nothing doesn't keep the process alive.
func (l *Log) Close() {
	if !l.closed.CompareAndSwap(false, true) {
		return
	}
	close(l.quit)
	select {
	case <-l.done:
	case <-time.After(closeTimeout.Duration()):
	}
}

// Dropped returns the number of lines dropped since the start, because of a
// full buffer or by sampling.
func (l *Log) Dropped() int64 { return l.overflowed.Load() + l.sampledOut.Load() }

// run flushes the buffer after each flushInterval with new lines, until the log
// is closed. It also logs how many lines were dropped.
func (l *Log) run() {
	defer close(l.done)
	defer l.flush()
	reported := int64(0)
	for {
		select {
		case <-l.quit:
			return
		case <-l.wake:
		}
		select {
		case <-l.quit:
			return
		case <-time.After(flushInterval.Duration()):
		}
		l.flush()
		if n := l.Dropped(); n > reported {
			l.Logger.Warn("logs: lines dropped", zap.Int64("lines", n-reported))
			reported = n
		}
	}
}

// flush swaps the buffers and writes the full one without holding the lock.
func (l *Log) flush() {
	l.mu.Lock()
	l.buffer, l.spare = l.spare, l.buffer
	l.mu.Unlock()
	// A failed write is ignored: it can't be reported in the log itself.
	_, _ = l.out.Write(l.spare.Bytes())
	l.spare.Reset()
}
