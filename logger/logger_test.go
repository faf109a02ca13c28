package logger_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/logger"
)

// gatedWriter is a log writer that blocks until it is opened.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

func (w *gatedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against callers that block while the reader of the log does not read.
// When it reads again, all warnings must be written, before the ordinary lines,
// and dropped lines must be reported.
func TestStuckReaderHoldsUpNothing(t *testing.T) {
	out := &gatedWriter{open: make(chan struct{})}
	core := logger.New(out, zap.InfoLevel, 0)
	log := zap.New(core)
	logged := make(chan struct{})
	go func() {
		for range 5000 {
			log.Info("uneventful")
		}
		for range 100 {
			log.Warn("failed")
		}
		close(logged)
	}()
	<-logged // a call that blocks fails the test by its timeout
	time.Sleep(1100 * time.Millisecond)
	close(out.open)
	assert.NilError(t, core.Sync())
	time.Sleep(50 * time.Millisecond)
	text := out.String()
	assert.Equal(t, strings.Count(text, `"failed"`), 100)
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.LastIndex(text, `"failed"`) < strings.LastIndex(text, `"uneventful"`))
}

// Guards against a rate limit that does not hold for ordinary lines, or that
// drops warnings.
func TestQuota(t *testing.T) {
	out := &gatedWriter{open: make(chan struct{})}
	close(out.open)
	core := logger.New(out, zap.InfoLevel, 10)
	log := zap.New(core).With(zap.String("instance", "n"))
	for range 200 {
		log.Info("uneventful")
		log.Warn("failed")
		log.Debug("not asked for")
	}
	assert.NilError(t, core.Sync())
	time.Sleep(50 * time.Millisecond)
	text := out.String()
	assert.Assert(t, strings.Count(text, "uneventful") < 50)
	assert.Equal(t, strings.Count(text, `"failed"`), 200)
	assert.Equal(t, strings.Count(text, "not asked for"), 0)
	assert.Assert(t, strings.Contains(text, `"instance":"n"`))
}

func BenchmarkLine(b *testing.B) {
	log := zap.New(logger.New(io.Discard, zap.InfoLevel, 0))
	for b.Loop() {
		log.Info("request ended", zap.String("request", "0123456789abcdef"), zap.Int("millis", 20))
	}
}
