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

// Bounds of a log.
const (
	// maxBufferedBytes bounds the bytes that wait to be written.
	maxBufferedBytes = 1 << 20
	// flushInterval is how long lines are collected before they are written, so
	// that a busy entry makes few system calls.
	flushInterval clock.Millis = 100
	// sampleFirst is the lines of one message that are written in a second, and
	// sampled the one in so many that is written beyond.
	sampleFirst      = 300
	sampleThereafter = 20
)

// Log is the log of a process.
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

// New returns a log that writes lines of the level and above to out; an empty
// level is info.
func New(out io.Writer, level string) (*Log, error) {
	least := zapcore.InfoLevel
	if level != "" {
		if err := least.Set(level); err != nil {
			return nil, err
		}
	}
	l := &Log{out: out, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), l, least)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(l.countSampledOut))
	l.Logger = zap.New(core)
	go l.run()
	return l, nil
}

func (l *Log) countSampledOut(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.sampledOut.Add(1)
	}
}

// Write takes a line to be written later. It implements
// [zapcore.WriteSyncer].
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

// Sync implements [zapcore.WriteSyncer]. Lines are written soon after anyway.
func (l *Log) Sync() error { return nil }

// Close writes what is waiting.
func (l *Log) Close() {
	if l.closed.CompareAndSwap(false, true) {
		close(l.quit)
		<-l.done
	}
}

// Dropped returns how many lines were left out since the start.
func (l *Log) Dropped() int64 { return l.overflowed.Load() + l.sampledOut.Load() }

// run writes what is waiting until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	defer l.flush()
	told := int64(0)
	for {
		select {
		case <-l.quit:
			return
		case <-l.wake:
		}
		select {
		case <-l.quit:
			return
		case <-time.After(flushInterval.Std()):
		}
		l.flush()
		if n := l.Dropped(); n > told {
			l.Logger.Warn("logs: lines were left out", zap.Int64("lines", n-told))
			told = n
		}
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	l.buffer, l.spare = l.spare, l.buffer
	l.mu.Unlock()
	// A log that can't be written has nowhere to say so.
	_, _ = l.out.Write(l.spare.Bytes())
	l.spare.Reset()
}
