package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"

	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/translator"
)

const (
	streamBufferBytes = 8 << 10
	maxEventBytes     = 1 << 20
	// eventCopies is how many times the bytes of an event may be in memory: as it arrives,
	// as its buffer grows, and as it is sent to the caller.
	eventCopies = 3
)

// The blank lines that end an event.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// relayStream relays events, each only when it is complete, so that the stream
// can be resumed at another endpoint after the last relayed event.
func (r *Relayer) relayStream(ctx context.Context, a *attempt, head *framer.Head, response translator.Answer) (bool, *refuser.Refusal) {
	if !response.Sealed {
		a.endpoint.RecordFailure(r.deps.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s did not mark its answer", a.entry.Name)
	}
	if a.answer.Begun() && !isEventStream(head) {
		a.endpoint.RecordFailure(r.deps.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s answered a resumed stream with %d %q", a.entry.Name, head.Status, head.Get("Content-Type"))
	}
	body := head.Body(a.conn.Reader)
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			r.recordProgress(a)
		}
		if err := a.reserveEvents(len(pending) + n); err != nil {
			return false, r.connectionFailed(ctx, a, err)
		}
		var complete int
		pending, complete = appendEvents(pending, buffer[:n])
		if complete > 0 {
			r.relayEvents(a, head, pending[:complete])
			pending = remainder(pending, complete)
		}
		if a.answer.Err() != nil {
			return false, r.deliveryRefusal(a)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, r.connectionFailed(ctx, a, err)
		}
		if len(pending) > maxEventBytes {
			return false, refuser.New(refuser.AnswerLost, judge.Ran, "endpoint %s sent an event of over %d bytes", a.entry.Name, maxEventBytes)
		}
	}
	if len(pending) > 0 || head.Length == framer.UntilClose && !a.begun || !a.endedWhole(head) {
		return false, r.connectionFailed(ctx, a, io.ErrUnexpectedEOF)
	}
	if a.answer.Begun() && !a.begun {
		// An empty stream may lack events or only its end; both look the same.
		a.endpoint.RecordFailure(r.deps.Now())
		return false, refuser.New(refuser.AnswerLost, judge.MayHaveRun, "endpoint %s sent no event of a resumed stream", a.entry.Name)
	}
	reusable := r.reusable(a, head, response, nil)
	if !a.answer.Begun() {
		a.answer.WriteAnswer(head.Status, endToEndFields(head), nil)
	} else {
		a.answer.EndStream()
	}
	return reusable, r.deliveryRefusal(a)
}

// reserveEvents adjusts the memory of the answer to events of so many bytes. Those that
// fit into one buffer are not accounted for.
func (a *attempt) reserveEvents(bytes int) error {
	needed := 0
	if bytes > streamBufferBytes {
		needed = eventCopies * bytes
	}
	switch {
	case needed < a.eventBytes:
		a.memory.Shrink(a.eventBytes - needed)
	case needed > a.eventBytes:
		if err := a.memory.Grow(needed - a.eventBytes); err != nil {
			return err
		}
	}
	a.eventBytes = needed
	return nil
}

// remainder returns the bytes of pending from offset on, in a buffer of their own if
// that of pending is large.
func remainder(pending []byte, offset int) []byte {
	if cap(pending) > 2*streamBufferBytes {
		return bytes.Clone(pending[offset:])
	}
	return append(pending[:0], pending[offset:]...)
}

// isEventStream reports whether an answer is a stream of events.
func isEventStream(head *framer.Head) bool {
	mediaType, _, err := mime.ParseMediaType(head.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && head.Status == 200
}

// relayEvents relays complete events, except those that the caller already has.
func (r *Relayer) relayEvents(a *attempt, head *framer.Head, data []byte) {
	r.recordBegin(a)
	if a.prefillTokens > 0 {
		r.firstEvent(a)
	}
	data, last := eventsAfter(data, a.lastEventID)
	a.lastEventID = last
	if len(data) == 0 {
		return
	}
	if a.answer.Begun() {
		a.answer.WriteChunk(data)
		return
	}
	a.answer.BeginStream(head.Status, endToEndFields(head), data)
	a.firstMillis = int(r.deps.Now().Sub(a.request.ReceivedAt).Milliseconds())
	r.deps.Count.Observe("first.millis", int64(a.firstMillis))
}

// firstEvent records that the prefill of the prompt has finished.
func (r *Relayer) firstEvent(a *attempt) {
	a.load.PrefillTokens = 0
	prefill := a.load
	prefill.Requests, prefill.KVTokens, prefill.PrefillTokens = 0, 0, a.prefillTokens
	a.endpoint.End(prefill)
	a.prefillTokens = 0
	r.learn(a)
	a.endTransfer()
	r.recordParts(a, r.deps.Now())
}

// appendEvents appends data to pending, which contains no complete event, and
// returns the length of the events that are complete now. It searches only the new
// bytes, since an event may arrive in many pieces.
func appendEvents(pending, data []byte) (appended []byte, complete int) {
	from := max(0, len(pending)-len(eventEndCRLF)+1)
	pending = append(pending, data...)
	if length := completeEventsLength(pending[from:]); length > 0 {
		return pending, from + length
	}
	return pending, 0
}

// completeEventsLength returns the length of the complete events at the
// beginning of data.
func completeEventsLength(data []byte) int {
	end := 0
	for _, blankLine := range [][]byte{eventEnd, eventEndCRLF} {
		if i := bytes.LastIndex(data, blankLine); i >= 0 {
			end = max(end, i+len(blankLine))
		}
	}
	return end
}

// eventsAfter returns the events of data after the event with the id last, and
// the id of the newest event.
func eventsAfter(data []byte, last string) ([]byte, string) {
	lastNumber := parseNumber(last)
	start := 0
	for offset := 0; offset < len(data); {
		length := firstEventLength(data[offset:])
		if id := eventID(data[offset : offset+length]); id != "" {
			if parseNumber(id) >= 0 && parseNumber(id) <= lastNumber {
				start = offset + length
			} else {
				last = id
			}
		}
		offset += length
	}
	return data[start:], last
}

// firstEventLength returns the length of the first event in data with its blank
// line.
func firstEventLength(data []byte) int {
	end := len(data)
	for _, blankLine := range [][]byte{eventEnd, eventEndCRLF} {
		if i := bytes.Index(data[:end], blankLine); i >= 0 {
			end = i + len(blankLine)
		}
	}
	return end
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// parseNumber returns the non-negative decimal number in text, or -1.
func parseNumber(text string) int64 {
	if text == "" {
		return -1
	}
	value := int64(0)
	for _, digit := range []byte(text) {
		if digit < '0' || digit > '9' {
			return -1
		}
		value = value*10 + int64(digit-'0')
	}
	return value
}
