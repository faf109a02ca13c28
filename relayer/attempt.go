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
	maxHeadBytes   = 32 << 10 // the head of an answer
	maxAnswerBytes = 16 << 20 // an answer that is not a stream
	maxStrayBytes  = 1 << 20  // an answer to another request, which is read and discarded
	// concurrentWriteBytes is the request size above which the request is
	// written concurrently with reading the answer, since the endpoint may
	// answer before it has read the whole request.
	concurrentWriteBytes = 8 << 10
	// keepAliveMargin is how long before the endpoint's keep-alive timeout an
	// idle connection is discarded.
	keepAliveMargin = 500 * time.Millisecond
)

// attempt is one send of a request to one endpoint.
type attempt struct {
	*exchange
	conn          *pooler.Conn
	entry         monitor.Entry
	load          monitor.Load
	prefillTokens int
	sentAt        time.Time
	weights       int
	writeDone     chan error
	// saveStore is the store to which the endpoint saves the cached parts, or
	// nil.
	saveStore *monitor.Monitor
	// transfer is the load counted on the store that parts are fetched from.
	transfer monitor.Load
	// lastProgress is when data for this request last arrived, in nanoseconds
	// since sentAt. abandoned is set when the silence exceeds silenceLimit.
	lastProgress atomic.Int64
	// silenceLimit is the silence after which the request is retried elsewhere.
	silenceLimit time.Duration
	abandoned    atomic.Bool
	// closeBy is when the endpoint closes the idle connection, zero if unknown.
	closeBy time.Time
}

// runAttempt sends the request to the chosen endpoint and relays the answer.
func (r *Relayer) runAttempt(ctx context.Context, c *exchange) *refuser.Refusal {
	t := &attempt{exchange: c, entry: c.endpoint.Entry(), prefillTokens: c.choice.PrefillTokens}
	if c.request.Model != "" {
		t.weights = c.endpoint.Weights(c.request.Model)
	}
	t.load = monitor.Load{Requests: 1, PrefillTokens: t.prefillTokens, KVTokens: c.request.PromptTokens + c.request.OutputTokens}
	c.endpoint.Begin(t.load, r.deps.Now())
	defer func() { c.endpoint.End(t.load) }()
	if len(c.request.Parts) > 0 {
		t.saveStore = r.storeToSave(t)
		r.announceParts(t, false)
		defer t.dropPendingParts()
		t.beginTransfer(r.deps.Now())
		defer t.endTransfer()
	}
	conn, err := r.deps.Pool.Get(t.entry.Address, false)
	if err != nil {
		c.endpoint.RecordFailure(r.deps.Now())
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "dial endpoint %s: %s", t.entry.Name, err)
	}
	t.conn = conn
	t.sentAt = r.deps.Now()
	defer r.startWatch(t)()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reusable, refusal := r.sendAndReceive(ctx, t)
	if !stop() || !reusable || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return refusal
	}
	r.deps.Pool.Put(t.entry.Address, conn, t.closeBy)
	return refusal
}

// sendAndReceive sends the request and relays the answer. It reports whether
// the connection can be reused.
func (r *Relayer) sendAndReceive(ctx context.Context, t *attempt) (bool, *refuser.Refusal) {
	if ctx.Err() != nil {
		return false, refuser.New(refuser.CallerGone, judge.NotRun, "the caller left")
	}
	if err := t.conn.SetDeadline(t.deadline); err != nil {
		return false, refuser.New(refuser.UpstreamLost, judge.NotRun, "endpoint %s: %s", t.entry.Name, err)
	}
	if refusal := r.send(t); refusal != nil {
		return false, refusal
	}
	head, response, refusal := r.readHead(ctx, t)
	if refusal != nil {
		return false, refusal
	}
	if response.Weights > 0 {
		t.endpoint.SetWeights(t.request.Model, response.Weights)
	}
	if response.NotRun || response.WrongTarget {
		return r.handleNotRun(t, head, response)
	}
	if t.request.Route.Stream && head.Status < 300 {
		return r.relayStream(ctx, t, head, response)
	}
	return r.relayWhole(ctx, t, head, response)
}

// send writes the request, large ones in a separate goroutine.
func (r *Relayer) send(t *attempt) *refuser.Refusal {
	t.sends++
	buffer := make([]byte, 0, 1024+min(len(t.request.Body), concurrentWriteBytes))
	buffer = r.deps.Translator.EncodeRequest(buffer, t.request, t.sendOptions(), t.sentAt)
	if len(t.request.Body) > concurrentWriteBytes {
		t.writeDone = make(chan error, 1)
		go func() {
			parts := net.Buffers{buffer, t.request.Body}
			_, err := parts.WriteTo(t.conn.Conn)
			t.writeDone <- err
		}()
		return nil
	}
	n, err := t.conn.Write(append(buffer, t.request.Body...))
	if err != nil && n == 0 {
		t.endpoint.RecordFailure(r.deps.Now())
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "write to endpoint %s: %s", t.entry.Name, err)
	}
	return nil // after a partial write, reading the answer reports the error
}

// sendOptions returns the parameters with which the request is sent to the
// endpoint.
func (t *attempt) sendOptions() translator.SendOptions {
	options := translator.SendOptions{Endpoint: t.entry.Name, Deadline: t.deadline, LastEventID: t.lastEventID}
	if t.request.Model == "" {
		return options
	}
	options.Weights = t.weights
	options.Salt = cacheSalt(t.request, t.weights)
	if t.source != nil {
		options.Fetch = t.source.Entry().Address
	}
	if t.saveStore != nil {
		options.Save = t.saveStore.Entry().Address
	}
	return options
}

// fullyWritten reports without blocking whether the whole request was written.
func (t *attempt) fullyWritten() bool {
	if t.writeDone == nil {
		return true
	}
	select {
	case err := <-t.writeDone:
		t.writeDone <- err
		return err == nil
	default:
		return false
	}
}

// readHead reads the head of the answer to this request and discards answers to
// other requests.
func (r *Relayer) readHead(ctx context.Context, t *attempt) (*framer.Head, translator.Answer, *refuser.Refusal) {
	for {
		head, err := framer.ReadResponse(t.conn.Reader, maxHeadBytes, t.request.Head.Method)
		if err != nil {
			return nil, translator.Answer{}, r.connectionFailed(ctx, t, err)
		}
		r.recordProgress(t)
		response := r.deps.Translator.DecodeAnswer(head)
		if response.RequestID == t.request.ID || response.RequestID == "" && (response.NotRun || response.WrongTarget) {
			return head, response, nil
		}
		r.deps.Count.Add("answers", "stray")
		if response.RequestID == "" || head.Length == framer.UntilClose {
			t.endpoint.RecordFailure(r.deps.Now())
			return nil, response, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s answered with something else", t.entry.Name)
		}
		if _, err := head.ReadBody(t.conn.Reader, maxStrayBytes); err != nil {
			return nil, response, r.connectionFailed(ctx, t, err)
		}
	}
}

// handleNotRun handles an answer which states that the request did not run.
func (r *Relayer) handleNotRun(t *attempt, head *framer.Head, response translator.Answer) (bool, *refuser.Refusal) {
	_, err := head.ReadBody(t.conn.Reader, maxStrayBytes)
	if !response.WrongTarget || t.weights == t.endpoint.Weights(t.request.Model) {
		t.endpoint.RecordFailure(r.deps.Now())
	}
	switch {
	case response.WrongTarget && response.Endpoint != "" && response.Endpoint != t.entry.Name:
		t.endpoint.MarkLeaving(r.deps.Now())
		r.deps.Log.Warn("another endpoint answers at this address", zap.String("endpoint", t.entry.Name), zap.String("found", response.Endpoint))
	case response.WrongTarget && t.weights > 0:
		r.deps.QueryWeights(t.endpoint)
	}
	refusal := refuser.New(refuser.UpstreamBusy, judge.NotRun, "endpoint %s did not run it (%d)", t.entry.Name, head.Status)
	return r.reusable(t, head, response, err), refusal.WithRetryAt(r.deps.Now().Add(retryAfter))
}

// relayWhole relays an answer that is not a stream after all of it has arrived.
func (r *Relayer) relayWhole(ctx context.Context, t *attempt, head *framer.Head, response translator.Answer) (bool, *refuser.Refusal) {
	body, err := head.ReadBody(t.conn.Reader, maxAnswerBytes)
	if err != nil {
		return false, r.connectionFailed(ctx, t, err)
	}
	if head.Status < 300 && !response.Sealed {
		t.endpoint.RecordFailure(r.deps.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s did not mark its answer", t.entry.Name)
	}
	reusable := r.reusable(t, head, response, nil)
	if head.Status >= 500 && t.request.Repeatable() {
		t.runs++
		if r.shouldRetry(ctx, t.exchange, refuser.New(refuser.Rejected, judge.Ran, "")) {
			t.runs--
			return reusable, refuser.New(refuser.Rejected, judge.Ran, "endpoint %s answered %d", t.entry.Name, head.Status)
		}
	}
	if head.Status < 500 {
		t.endpoint.RecordAnswer(float64(r.deps.Now().Sub(t.sentAt).Milliseconds()), t.choice.UnscaledMillis, r.deps.Now())
	}
	t.answer.WriteAnswer(head.Status, endToEndFields(head), body, t.request.Head.Method != "HEAD")
	return reusable, r.deliveryRefusal(t)
}

// deliveryRefusal returns a CallerGone refusal if the answer could not be
// written to the caller completely, and nil otherwise.
func (r *Relayer) deliveryRefusal(t *attempt) *refuser.Refusal {
	if t.answer.Complete() {
		return nil
	}
	return refuser.New(refuser.CallerGone, judge.Ran, "the caller did not take the answer")
}

// reusable reports whether the connection can be reused after this answer.
func (r *Relayer) reusable(t *attempt, head *framer.Head, response translator.Answer, err error) bool {
	if err != nil || head.Close || head.Length == framer.UntilClose || !t.fullyWritten() {
		return false
	}
	if response.KeepAliveSeconds > 0 {
		t.closeBy = r.deps.Now().Add(time.Duration(response.KeepAliveSeconds)*time.Second - keepAliveMargin)
	}
	return true
}

// connectionFailed returns the refusal for an answer that did not arrive
// completely.
func (r *Relayer) connectionFailed(ctx context.Context, t *attempt, err error) *refuser.Refusal {
	if ctx.Err() != nil {
		return refuser.New(refuser.CallerGone, judge.MayHaveRun, "the caller left")
	}
	now := r.deps.Now()
	t.endpoint.RecordFailure(now)
	var timeout net.Error
	if t.abandoned.Load() {
		t.retryReserved = true
		return refuser.New(refuser.Silent, judge.MayHaveRun, "endpoint %s sent nothing for %d ms", t.entry.Name, t.endpoint.SilentFor(now).Milliseconds())
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refuser.New(refuser.Timeout, judge.MayHaveRun, "endpoint %s did not answer in time", t.entry.Name)
	}
	if t.conn.Reused {
		r.deps.Pool.Drop(t.entry.Address)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err) {
		loss := quarantiner.Crash{Endpoint: t.entry.Name, Incarnation: strconv.FormatInt(t.entry.Incarnation, 10)}
		r.deps.AnnounceCrash(r.deps.Quarantine.RecordCrash(t.request.Fingerprint, loss, now))
	}
	return refuser.New(refuser.UpstreamLost, judge.MayHaveRun, "endpoint %s: %s", t.entry.Name, err)
}

// isNetworkError reports whether err is an error of a network operation, such
// as a connection reset.
func isNetworkError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
