package relayer

import (
	"cmp"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriadrum/allotter"
	"wisteriadrum/budgeter"
	"wisteriadrum/detector"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/opener"
	"wisteriadrum/pooler"
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
	conn *pooler.Conn
	// memory is the memory of the answer.
	memory *allotter.Share
	// eventBytes is the part of it for events that have not been relayed yet.
	eventBytes    int
	entry         monitor.Entry
	load          monitor.Load
	prefillTokens int
	sentAt        time.Time
	weights       int
	writeDone     chan error
	// writeErr is the error of a request without writeDone that was written only in part.
	writeErr error
	// marks is the evidence against the parts of the prompt when the request was
	// sent.
	marks []detector.Suspect
	// begun reports that the endpoint began to answer.
	begun bool
	// settled is set when the endpoint begins to answer, or when the attempt ends since it
	// has not before its weights went out of use; outdated means the latter.
	settled, outdated atomic.Bool
	// saveStore is the store to which the endpoint saves the cached parts, or
	// nil.
	saveStore *monitor.Monitor
	// endTransfer ends the load counted on the store that parts are fetched from.
	endTransfer func()
	// lastProgress is when data for this request last arrived, in nanoseconds
	// since sentAt. abandoned is set when the silence exceeds silenceLimit.
	lastProgress atomic.Int64
	// silenceLimit is the silence after which the request is retried elsewhere.
	silenceLimit time.Duration
	abandoned    atomic.Bool
	// elsewhere is the budget in which the retry of an abandoned attempt is reserved.
	elsewhere *budgeter.Budget
	// closeBy is when the endpoint closes the idle connection, zero if unknown.
	closeBy time.Time

	// yielded means that the complete answer may be ended for others, since its caller does
	// not take it.
	yielded atomic.Bool

	mu sync.Mutex
	// ended means that the connection may carry another request.
	ended bool
}

// interrupt makes the reception of the answer fail unless the attempt has ended.
func (a *attempt) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		_ = a.conn.SetDeadline(time.Unix(1, 0)) // unblocks the reader, which reports the failure
	}
}

// end ends the attempt: its connection is not interrupted any more.
func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

// runAttempt sends the request to the chosen endpoint and relays the answer.
func (r *Relayer) runAttempt(ctx context.Context, e *exchange) *refuser.Refusal {
	e.loss = nil
	defer e.endTurn()
	a := &attempt{exchange: e, entry: e.endpoint.Entry(), prefillTokens: e.choice.PrefillTokens, endTransfer: func() {}}
	if e.request.Model != "" {
		a.weights = e.endpoint.Weights(e.request.Model)
	}
	a.load = monitor.Load{Requests: 1, PrefillTokens: a.prefillTokens, KVTokens: e.request.PromptTokens + e.request.OutputTokens}
	e.endpoint.Begin(a.load, r.deps.Now())
	defer func() { e.endpoint.End(a.load) }()
	if len(e.request.Parts) > 0 && !e.choice.Work.Plain {
		a.saveStore = r.storeToSave(a, r.deps.Now())
		r.announceParts(a, false)
		defer r.dropPendingParts(a)
		a.beginTransfer(r.deps.Now())
		defer func() { a.endTransfer() }()
	}
	// On the connection of an earlier send, a second copy of its answer may arrive.
	conn, err := r.deps.Pool.Get(a.entry.Address, slices.Contains(e.addresses, a.entry.Address))
	if err != nil {
		r.recordDialFailure(e.endpoint, err)
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "dial endpoint %s: %s", a.entry.Name, err)
	}
	a.conn = conn
	if err := conn.SetDeadline(a.deadline); err != nil {
		_ = conn.Close()
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "endpoint %s: %s", a.entry.Name, err)
	}
	a.sentAt = r.deps.Now()
	defer r.startWatch(a)()
	defer r.limitWait(ctx, a)()
	receiving, evict := context.WithCancel(ctx)
	defer evict()
	a.memory = r.deps.Received.Open(receiving, a.deadline, func() {
		evict()
		a.abortDelivery()
	})
	defer a.memory.Close()
	stop := context.AfterFunc(receiving, a.interrupt)
	reusable, refusal := r.sendAndReceive(ctx, a)
	a.end()
	if !stop() || !reusable || conn.SetDeadline(time.Time{}) != nil {
		r.closeConn(a, refusal)
		return refusal
	}
	r.deps.Pool.Put(a.entry.Address, conn, a.closeBy)
	return refusal
}

// closeConn closes the connection. If the endpoint may still work on a large request, the
// connection is reset, so that it learns of the end before the request goes on elsewhere. The
// end of a small one waits behind nothing, and the kernel repeats it, unlike a reset, until it
// arrives.
func (r *Relayer) closeConn(a *attempt, refusal *refuser.Refusal) {
	if refusal == nil || refusal.Ran == judge.NotRun || a.writeDone == nil {
		_ = a.conn.Close()
		return
	}
	a.conn.Reset()
	r.deps.Count.Add("reset", string(refusal.Code))
}

// sendAndReceive sends the request and relays the answer. It reports whether
// the connection can be reused.
func (r *Relayer) sendAndReceive(ctx context.Context, a *attempt) (bool, *refuser.Refusal) {
	if ctx.Err() != nil {
		return false, endedRefusal(ctx, judge.NotRun)
	}
	if !r.spendRetry(a.exchange) {
		return true, budgetRefusal
	}
	if refusal := r.send(a); refusal != nil {
		return false, refusal
	}
	head, response, refusal := r.readHead(ctx, a)
	if refusal != nil {
		return false, refusal
	}
	if response.Weights > 0 {
		a.endpoint.SetWeights(a.request.Model, response.Weights)
	}
	if response.NotRun || response.WrongTarget {
		return r.handleNotRun(a, head, response)
	}
	if a.request.Route.Stream && head.Status < 300 {
		return r.relayStream(ctx, a, head, response)
	}
	return r.relayWhole(ctx, a, head, response)
}

// send writes the request, large ones in a separate goroutine.
func (r *Relayer) send(a *attempt) *refuser.Refusal {
	a.sends++
	a.addresses = append(a.addresses, a.entry.Address)
	a.marks = r.deps.Detector.Marks(a.request, r.deps.Now())
	buffer := make([]byte, 0, 1024+min(len(a.request.Body), concurrentWriteBytes))
	buffer = r.deps.Translator.EncodeRequest(buffer, a.request, a.sendOptions(), a.sentAt)
	if len(a.request.Body) > concurrentWriteBytes {
		a.writeDone = make(chan error, 1)
		go func() {
			parts := net.Buffers{buffer, a.request.Body}
			_, err := parts.WriteTo(a.conn.Conn)
			a.writeDone <- err
		}()
		return nil
	}
	n, err := a.conn.Write(append(buffer, a.request.Body...))
	if err != nil && n == 0 {
		r.deps.Count.Add("unrun", "unwritten")
		a.endpoint.RecordFailure(r.deps.Now())
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "write to endpoint %s: %s", a.entry.Name, err)
	}
	a.writeErr = err // reading the answer may not report it
	return nil
}

// sendOptions returns the parameters with which the request is sent to the
// endpoint.
func (a *attempt) sendOptions() translator.SendOptions {
	options := translator.SendOptions{Endpoint: a.entry.Name, Deadline: a.deadline, LastEventID: a.lastEventID}
	if a.request.Model == "" {
		return options
	}
	options.Weights = a.weights
	options.Salt = cacheSalt(a.request, a.weights)
	if source := cmp.Or(a.source, a.spare); source != nil {
		options.Fetch = source.Entry().Address
	}
	if a.saveStore != nil {
		options.Save = a.saveStore.Entry().Address
	}
	return options
}

// fullyWritten reports without blocking whether the whole request was written.
func (a *attempt) fullyWritten() bool {
	if a.writeDone == nil {
		return a.writeErr == nil
	}
	select {
	case err := <-a.writeDone:
		a.writeDone <- err
		return err == nil
	default:
		return false
	}
}

// readHead reads the head of the answer to this request and discards answers to
// other requests.
func (r *Relayer) readHead(ctx context.Context, a *attempt) (*framer.Head, translator.Answer, *refuser.Refusal) {
	for {
		head, err := framer.ReadResponse(a.conn.Reader, maxHeadBytes, a.request.Head.Method, a.memory)
		if err != nil {
			return nil, translator.Answer{}, r.connectionFailed(ctx, a, err)
		}
		r.recordProgress(a)
		response := r.deps.Translator.DecodeAnswer(head)
		sentAt := a.sentAt
		if response.RequestID != a.request.ID {
			sentAt = time.Time{}
		}
		r.Observe(a.endpoint, response, sentAt)
		// On a connection that was used before, a refusal without an id may be an earlier one.
		isRefusal := response.NotRun || response.WrongTarget
		if response.RequestID == a.request.ID || response.RequestID == "" && isRefusal && !a.conn.Reused {
			return head, response, nil
		}
		r.deps.Count.Add("answers", "stray")
		if response.RequestID == "" || head.Length == framer.UntilClose {
			a.endpoint.RecordFailure(r.deps.Now())
			return nil, response, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s answered with something else", a.entry.Name)
		}
		if err := head.DiscardBody(a.conn.Reader, maxStrayBytes); err != nil {
			return nil, response, r.connectionFailed(ctx, a, err)
		}
	}
}

// handleNotRun handles an answer which states that the request did not run.
func (r *Relayer) handleNotRun(a *attempt, head *framer.Head, response translator.Answer) (bool, *refuser.Refusal) {
	var err error
	if head.Length != framer.UntilClose { // otherwise the connection is closed in any case
		err = head.DiscardBody(a.conn.Reader, maxStrayBytes)
	}
	r.countNotRun(response)
	taken := response.WrongTarget && response.Endpoint != "" && response.Endpoint != a.entry.Name
	if !response.WrongTarget || a.weights == a.endpoint.Weights(a.request.Model) {
		a.endpoint.RecordFailure(r.deps.Now())
	}
	switch {
	case taken:
		r.recordTaken(a, response.Endpoint)
	case response.WrongTarget && a.weights > 0:
		r.deps.QueryWeights(a.endpoint)
	}
	refusal := refuser.New(refuser.UpstreamBusy, judge.NotRun, "endpoint %s did not run it (%d)", a.entry.Name, head.Status)
	return r.reusable(a, head, response, err), refusal.WithRetryAt(r.retryAt(a.request.Pool.Name, r.deps.Now()))
}

// relayWhole relays an answer that is not a stream after all of it has arrived.
func (r *Relayer) relayWhole(ctx context.Context, a *attempt, head *framer.Head, response translator.Answer) (bool, *refuser.Refusal) {
	body, err := head.ReadBody(a.conn.Reader, maxAnswerBytes, a.memory)
	if err == nil {
		err = a.memory.Settle()
	}
	if err == nil && !a.endedWhole(head) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return false, r.connectionFailed(ctx, a, err)
	}
	if head.Status < 300 && !response.Sealed {
		a.endpoint.RecordFailure(r.deps.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s did not mark its answer", a.entry.Name)
	}
	reusable := r.reusable(a, head, response, nil)
	if a.answer.Begun() {
		return reusable, refuser.New(refuser.Rejected, judge.Ran, "endpoint %s answered %d to a resumed stream", a.entry.Name, head.Status)
	}
	if head.Status >= 500 {
		r.endPlace(a.exchange, opener.Failed)
	}
	if head.Status >= 500 && a.request.Repeatable() {
		a.runs++
		if r.reserveRetry(ctx, a.exchange) {
			a.runs--
			return reusable, refuser.New(refuser.Rejected, judge.Ran, "endpoint %s answered %d", a.entry.Name, head.Status)
		}
	}
	if head.Status < 300 {
		r.recordBegin(a)
	}
	if head.Status < 500 {
		r.learnWhole(a, head.Status)
	}
	r.deliver(a, head, body)
	return reusable, r.deliveryRefusal(a)
}

// countNotRun counts how an endpoint stated that the request did not run.
func (r *Relayer) countNotRun(response translator.Answer) {
	switch {
	case response.RequestID == "":
		r.deps.Count.Add("unrun", "anonymous")
	case response.WrongTarget:
		r.deps.Count.Add("unrun", "misdirected")
	default:
		r.deps.Count.Add("unrun", "refused")
	}
}

// deliveryRefusal returns a CallerGone refusal if the answer could not be
// written to the caller completely, and nil otherwise.
func (r *Relayer) deliveryRefusal(a *attempt) *refuser.Refusal {
	if a.answer.Complete() {
		return nil
	}
	return refuser.New(refuser.CallerGone, judge.Ran, "the caller did not take the answer")
}

// reusable reports whether the connection can be reused after this answer.
func (r *Relayer) reusable(a *attempt, head *framer.Head, response translator.Answer, err error) bool {
	if err != nil || head.Close || head.Length == framer.UntilClose || !a.fullyWritten() {
		return false
	}
	if response.KeepAliveSeconds > 0 {
		a.closeBy = r.deps.Now().Add(time.Duration(response.KeepAliveSeconds)*time.Second - keepAliveMargin)
	}
	return true
}
