package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
	"wisteriadrum/translator"
)

const (
	maxHead   = 32 << 10 // bytes of an answer's head
	maxAnswer = 16 << 20 // bytes of an answer that is not a stream
	maxStray  = 1 << 20  // bytes of an answer to another request that are read to pass it over
	// writeApart is the size in bytes above which a request is written beside
	// the reading of its answer, which may come first.
	writeApart = 8 << 10
	// keepMargin is how long before the endpoint closes it an idle connection
	// is given up.
	keepMargin = 500 * time.Millisecond
)

// try is one send of a request to one endpoint.
type try struct {
	*course
	conn    *pooler.Conn
	entry   monitor.Entry
	load    monitor.Load
	unread  int
	sentAt  time.Time
	weights int
	written chan error
	// store is where the parts are sent, nil for nowhere.
	store *monitor.Monitor
	// transfer is what waits for the link of the store that is fetched from.
	transfer monitor.Load
	// progress is when something came for this request last, in nanoseconds
	// since sentAt; abandoned is set when too long nothing did.
	progress atomic.Int64
	// patience is the silence after which the request is tried elsewhere.
	patience  time.Duration
	abandoned atomic.Bool
	// closeBy is when the endpoint closes the connection, zero if unknown.
	closeBy time.Time
}

// attempt sends the request to the chosen endpoint and relays the answer.
func (r *Relayer) attempt(ctx context.Context, c *course) *refuser.Refusal {
	t := &try{course: c, entry: c.place.Entry(), unread: c.choice.PrefillTokens}
	if c.request.Model != "" {
		t.weights = c.place.Weights(c.request.Model)
	}
	t.load = monitor.Load{Requests: 1, PrefillTokens: t.unread, KVTokens: c.request.PromptTokens + c.request.OutputTokens}
	c.place.Begin(t.load, r.ports.Now())
	defer func() { c.place.End(t.load) }()
	if len(c.request.Parts) > 0 {
		t.store = r.saves(t)
		r.keeps(t, false)
		defer t.giveUp()
		t.fetching(r.ports.Now())
		defer t.fetched()
	}
	conn, err := r.ports.Pool.Get(t.entry.Address, false)
	if err != nil {
		c.place.RecordFailure(r.ports.Now())
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "dial endpoint %s: %s", t.entry.Name, err)
	}
	t.conn = conn
	t.sentAt = r.ports.Now()
	defer r.watch(t)()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reusable, refusal := r.exchange(ctx, t)
	if !stop() || !reusable || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return refusal
	}
	r.ports.Pool.Put(t.entry.Address, conn, t.closeBy)
	return refusal
}

// exchange sends the request and relays the answer. It reports whether the
// connection may be used again.
func (r *Relayer) exchange(ctx context.Context, t *try) (bool, *refuser.Refusal) {
	if ctx.Err() != nil {
		return false, refuser.New(refuser.CallerGone, judge.NotRun, "the caller left")
	}
	if err := t.conn.SetDeadline(t.ends); err != nil {
		return false, refuser.New(refuser.UpstreamLost, judge.NotRun, "endpoint %s: %s", t.entry.Name, err)
	}
	if refusal := r.send(t); refusal != nil {
		return false, refusal
	}
	head, said, refusal := r.head(ctx, t)
	if refusal != nil {
		return false, refusal
	}
	if said.Weights > 0 {
		t.place.SetWeights(t.request.Model, said.Weights)
	}
	if said.NotRun || said.WrongTarget {
		return r.refused(t, head, said)
	}
	if t.request.Route.Stream && head.Status < 300 {
		return r.stream(ctx, t, head, said)
	}
	return r.whole(ctx, t, head, said)
}

// send writes the request. Large ones are written beside the reading.
func (r *Relayer) send(t *try) *refuser.Refusal {
	t.sends++
	buffer := make([]byte, 0, 1024+min(len(t.request.Body), writeApart))
	buffer = r.ports.Translator.EncodeRequest(buffer, t.request, t.terms(), t.sentAt)
	if len(t.request.Body) > writeApart {
		t.written = make(chan error, 1)
		go func() {
			parts := net.Buffers{buffer, t.request.Body}
			_, err := parts.WriteTo(t.conn.Conn)
			t.written <- err
		}()
		return nil
	}
	n, err := t.conn.Write(append(buffer, t.request.Body...))
	if err != nil && n == 0 {
		t.place.RecordFailure(r.ports.Now())
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "write to endpoint %s: %s", t.entry.Name, err)
	}
	return nil // what comes of a part of the request shows when the answer is read
}

// terms says how the request goes to the endpoint.
func (t *try) terms() translator.SendOptions {
	send := translator.SendOptions{Endpoint: t.entry.Name, Deadline: t.ends, LastEventID: t.last}
	if t.request.Model == "" {
		return send
	}
	send.Weights = t.weights
	send.Salt = salt(t.request, t.weights)
	if t.source != nil {
		send.Fetch = t.source.Entry().Address
	}
	if t.store != nil {
		send.Save = t.store.Entry().Address
	}
	return send
}

// wrote reports whether the whole request was written, without waiting.
func (t *try) wrote() bool {
	if t.written == nil {
		return true
	}
	select {
	case err := <-t.written:
		t.written <- err
		return err == nil
	default:
		return false
	}
}

// head reads the head of the answer to this request and passes over answers
// to others.
func (r *Relayer) head(ctx context.Context, t *try) (*framer.Head, translator.Answer, *refuser.Refusal) {
	for {
		head, err := framer.ReadResponse(t.conn.Reader, maxHead, t.request.Head.Method)
		if err != nil {
			return nil, translator.Answer{}, r.lost(ctx, t, err)
		}
		r.heard(t)
		said := r.ports.Translator.DecodeAnswer(head)
		if said.RequestID == t.request.ID || said.RequestID == "" && (said.NotRun || said.WrongTarget) {
			return head, said, nil
		}
		r.ports.Count.Add("answers", "stray")
		if said.RequestID == "" || head.Length == framer.UntilClose {
			t.place.RecordFailure(r.ports.Now())
			return nil, said, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s answered with something else", t.entry.Name)
		}
		if _, err := head.ReadBody(t.conn.Reader, maxStray); err != nil {
			return nil, said, r.lost(ctx, t, err)
		}
	}
}

// refused handles an answer that says that the request did not run.
func (r *Relayer) refused(t *try, head *framer.Head, said translator.Answer) (bool, *refuser.Refusal) {
	_, err := head.ReadBody(t.conn.Reader, maxStray)
	if !said.WrongTarget || t.weights == t.place.Weights(t.request.Model) {
		t.place.RecordFailure(r.ports.Now())
	}
	switch {
	case said.WrongTarget && said.Endpoint != "" && said.Endpoint != t.entry.Name:
		t.place.MarkLeaving(r.ports.Now())
		r.ports.Log.Warn("another endpoint has the address", zap.String("endpoint", t.entry.Name), zap.String("found", said.Endpoint))
	case said.WrongTarget && t.weights > 0:
		r.ports.QueryWeights(t.place)
	}
	refusal := refuser.New(refuser.UpstreamBusy, judge.NotRun, "endpoint %s did not run it (%d)", t.entry.Name, head.Status)
	return r.reuse(t, head, said, err), refusal.WithRetryAt(r.ports.Now().Add(retryAfter))
}

// whole relays an answer that is not a stream once all of it has come.
func (r *Relayer) whole(ctx context.Context, t *try, head *framer.Head, said translator.Answer) (bool, *refuser.Refusal) {
	body, err := head.ReadBody(t.conn.Reader, maxAnswer)
	if err != nil {
		return false, r.lost(ctx, t, err)
	}
	if head.Status < 300 && !said.Sealed {
		t.place.RecordFailure(r.ports.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s did not mark its answer", t.entry.Name)
	}
	reusable := r.reuse(t, head, said, nil)
	if head.Status >= 500 && t.request.Repeatable() {
		t.runs++
		if r.again(ctx, t.course, refuser.New(refuser.Rejected, judge.Ran, "")) {
			t.runs--
			return reusable, refuser.New(refuser.Rejected, judge.Ran, "endpoint %s answered %d", t.entry.Name, head.Status)
		}
	}
	if head.Status < 500 {
		t.place.RecordAnswer(float64(r.ports.Now().Sub(t.sentAt).Milliseconds()), t.choice.UnscaledMillis, r.ports.Now())
	}
	t.answer.WriteAnswer(head.Status, passed(head), body, t.request.Head.Method != "HEAD")
	return reusable, r.delivered(t)
}

// delivered returns the refusal of an answer that the caller did not take.
func (r *Relayer) delivered(t *try) *refuser.Refusal {
	if t.answer.Complete() {
		return nil
	}
	return refuser.New(refuser.CallerGone, judge.Ran, "the caller did not take the answer")
}

// reuse reports whether the endpoint keeps the connection after this answer.
func (r *Relayer) reuse(t *try, head *framer.Head, said translator.Answer, err error) bool {
	if err != nil || head.Close || head.Length == framer.UntilClose || !t.wrote() {
		return false
	}
	if said.KeepAliveSeconds > 0 {
		t.closeBy = r.ports.Now().Add(time.Duration(said.KeepAliveSeconds)*time.Second - keepMargin)
	}
	return true
}

// lost describes an answer that did not come whole.
func (r *Relayer) lost(ctx context.Context, t *try, err error) *refuser.Refusal {
	if ctx.Err() != nil {
		return refuser.New(refuser.CallerGone, judge.MayHaveRun, "the caller left")
	}
	now := r.ports.Now()
	t.place.RecordFailure(now)
	var timeout net.Error
	if t.abandoned.Load() {
		t.paid = true
		return refuser.New(refuser.Silent, judge.MayHaveRun, "endpoint %s sent nothing for %d ms", t.entry.Name, t.place.SilentFor(now).Milliseconds())
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refuser.New(refuser.Timeout, judge.MayHaveRun, "endpoint %s did not answer in time", t.entry.Name)
	}
	if t.conn.Reused {
		r.ports.Pool.Drop(t.entry.Address)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err) {
		loss := quarantiner.Crash{Endpoint: t.entry.Name, Incarnation: strconv.FormatInt(t.entry.Incarnation, 10)}
		r.ports.AnnounceCrash(r.ports.Quarantine.RecordCrash(t.request.Fingerprint, loss, now))
	}
	return refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s: %s", t.entry.Name, err)
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
