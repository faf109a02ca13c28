// Package logger provides a zap core that never blocks the caller. Lines wait
// in bounded queues, warnings and errors in one that is written first. Lines that
// do not fit into their queue are dropped; their number is logged.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	urgentQueueLines   = 2048 // warning level and above
	ordinaryQueueLines = 512  // below the warning level
	// dropReportInterval is the minimum interval between reports of dropped
	// lines.
	dropReportInterval = time.Second
)

// Logger is a zap core that never blocks.
type Logger struct {
	encoder       zapcore.Encoder
	level         zapcore.Level
	urgent        chan []byte
	ordinary      chan []byte
	limiter       *rate.Limiter
	dropped       *atomic.Int64
	writeFailures *atomic.Int64
}

// New returns a core that writes lines of level and above to out. Lines below the
// warning level are limited to perSecond; 0 means no limit.
func New(out io.Writer, level zapcore.Level, perSecond int) *Logger {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	c := &Logger{
		encoder: zapcore.NewJSONEncoder(zapcore.EncoderConfig{
			TimeKey: "ts", LevelKey: "level", MessageKey: "msg", LineEnding: "\n",
			EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.MillisDurationEncoder,
		}),
		level: level, urgent: make(chan []byte, urgentQueueLines), ordinary: make(chan []byte, ordinaryQueueLines),
		limiter: rate.NewLimiter(limit, max(perSecond, 1)), dropped: &atomic.Int64{}, writeFailures: &atomic.Int64{},
	}
	go c.write(out)
	return c
}

// Enabled reports whether lines of level are written.
func (c *Logger) Enabled(level zapcore.Level) bool { return level >= c.level }

// With returns a core that adds fields to each line. It shares the queues.
func (c *Logger) With(fields []zapcore.Field) zapcore.Core {
	next := *c
	next.encoder = c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(next.encoder)
	}
	return &next
}

// Check adds the core to checked if it writes the line. It counts lines above the
// rate limit as dropped.
func (c *Logger) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !c.limiter.AllowN(entry.Time, 1) {
		c.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write queues a line, or counts it as dropped if the queue is full.
func (c *Logger) Write(entry zapcore.Entry, fields []zapcore.Field) error {
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

// Sync waits until the queued lines are written, at most for 200 ms, since the
// reader of the log may block.
func (c *Logger) Sync() error {
	const timeout, step = 200 * time.Millisecond, 5 * time.Millisecond
	for waited := time.Duration(0); waited < timeout && len(c.urgent)+len(c.ordinary) > 0; waited += step {
		time.Sleep(step)
	}
	return nil
}

func (c *Logger) write(out io.Writer) {
	lastReport := time.Now()
	for {
		line := c.next()
		if _, err := out.Write(line); err != nil {
			c.writeFailures.Add(1) // the log itself is the only place to report it
		}
		if dropped := c.dropped.Load(); dropped > 0 && time.Since(lastReport) > dropReportInterval {
			lastReport = time.Now()
			c.dropped.Add(-dropped)
			_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"ts\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", lastReport.UTC().Format(time.RFC3339Nano), dropped)
		}
	}
}

// next waits for the next line and returns it, urgent ones first.
func (c *Logger) next() []byte {
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
