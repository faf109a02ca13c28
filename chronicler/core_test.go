package chronicler_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/chronicler"
)

// gate is a reader of the log that reads nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// A reader that is stuck holds up no caller; when it reads again, failures
// come first and what was dropped is said.
func TestStuckReaderHoldsUpNothing(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	core := chronicler.New(out, zap.InfoLevel, 0)
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
	<-logged // would never come if a line could block
	time.Sleep(1100 * time.Millisecond)
	close(out.open)
	assert.NilError(t, core.Sync())
	time.Sleep(50 * time.Millisecond)
	text := out.String()
	assert.Equal(t, strings.Count(text, `"failed"`), 100)
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.LastIndex(text, `"failed"`) < strings.LastIndex(text, `"uneventful"`))
}

// Uneventful lines are bounded by the second, failures are not.
func TestQuota(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	close(out.open)
	core := chronicler.New(out, zap.InfoLevel, 10)
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
	log := zap.New(chronicler.New(io.Discard, zap.InfoLevel, 0))
	for b.Loop() {
		log.Info("request ended", zap.String("request", "0123456789abcdef"), zap.Int("millis", 20))
	}
}
