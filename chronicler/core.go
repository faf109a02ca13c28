// Package chronicler writes log lines without ever holding up what it logs:
// lines wait in bounded queues, those about failures before others, and lines
// that find no room are counted and said.
package chronicler

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	urgentRoom   = 2048 // lines at warning level and above
	ordinaryRoom = 512  // lines below
	// dropEvery is the interval at which dropped lines are said.
	dropEvery = time.Second
)

// Chronicler is a log core that never blocks.
type Chronicler struct {
	encoder  zapcore.Encoder
	level    zapcore.Level
	urgent   chan []byte
	ordinary chan []byte
	quota    *rate.Limiter
	dropped  *atomic.Int64
	failures *atomic.Int64
}

// New returns a core that writes lines of level and above to out, at most so
// many a second below the warning level; 0 means no bound.
func New(out io.Writer, level zapcore.Level, perSecond int) *Chronicler {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	c := &Chronicler{
		encoder: zapcore.NewJSONEncoder(zapcore.EncoderConfig{
			TimeKey: "ts", LevelKey: "level", MessageKey: "msg", LineEnding: "\n",
			EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.MillisDurationEncoder,
		}),
		level: level, urgent: make(chan []byte, urgentRoom), ordinary: make(chan []byte, ordinaryRoom),
		quota: rate.NewLimiter(limit, max(perSecond, 1)), dropped: &atomic.Int64{}, failures: &atomic.Int64{},
	}
	go c.write(out)
	return c
}

// Enabled reports whether lines of level are written.
func (c *Chronicler) Enabled(level zapcore.Level) bool { return level >= c.level }

// With returns a core that adds fields to each line.
func (c *Chronicler) With(fields []zapcore.Field) zapcore.Core {
	next := *c
	next.encoder = c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(next.encoder)
	}
	return &next
}

// Check adds the core to a line that it writes.
func (c *Chronicler) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !c.quota.AllowN(entry.Time, 1) {
		c.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write queues a line, or counts it as dropped.
func (c *Chronicler) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	queue := c.ordinary
	if entry.Level >= zapcore.WarnLevel {
		queue = c.urgent
	}
	select {
	case queue <- append([]byte(nil), line.Bytes()...):
	default:
		c.dropped.Add(1)
	}
	return nil
}

// Sync waits a moment for what is queued to be written, as far as the reader
// of the log lets it.
func (c *Chronicler) Sync() error {
	const patience, step = 200 * time.Millisecond, 5 * time.Millisecond
	for waited := time.Duration(0); waited < patience && len(c.urgent)+len(c.ordinary) > 0; waited += step {
		time.Sleep(step)
	}
	return nil
}

func (c *Chronicler) write(out io.Writer) {
	said := time.Now()
	for {
		line := c.next()
		if _, err := out.Write(line); err != nil {
			c.failures.Add(1) // there is nowhere left to report it
		}
		if dropped := c.dropped.Load(); dropped > 0 && time.Since(said) > dropEvery {
			said = time.Now()
			c.dropped.Add(-dropped)
			_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"ts\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", said.UTC().Format(time.RFC3339Nano), dropped)
		}
	}
}

// next returns the next line, urgent ones first.
func (c *Chronicler) next() []byte {
	select {
	case line := <-c.urgent:
		return line
	default:
	}
	select {
	case line := <-c.urgent:
		return line
	case line := <-c.ordinary:
		return line
	}
}
