package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"

	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/refuser"
	"wisteriadrum/translator"
)

const (
	streamBuffer = 8 << 10 // bytes read at once
	maxEvent     = 1 << 20 // bytes of one event
)

// stream relays events as they come, each only when it is whole, so that the
// stream can go on at another endpoint after the last one.
func (r *Relayer) stream(ctx context.Context, t *try, head *framer.Head, said translator.Answer) (bool, *refuser.Refusal) {
	if !said.Sealed {
		t.place.RecordFailure(r.ports.Now())
		return false, refuser.New(refuser.AnswerMismatch, judge.MayHaveRun, "endpoint %s did not mark its answer", t.entry.Name)
	}
	body := head.Body(t.conn.Reader)
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			r.heard(t)
		}
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			r.events(t, head, pending[:whole])
			pending = append(pending[:0], pending[whole:]...)
		}
		if t.answer.Err() != nil {
			return false, r.delivered(t)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, r.lost(ctx, t, err)
		}
		if len(pending) > maxEvent {
			return false, refuser.New(refuser.AnswerLost, judge.Ran, "endpoint %s sent an event of over %d bytes", t.entry.Name, maxEvent)
		}
	}
	if len(pending) > 0 {
		return false, r.lost(ctx, t, io.ErrUnexpectedEOF)
	}
	reusable := r.reuse(t, head, said, nil)
	if !t.answer.Begun() {
		t.answer.WriteAnswer(head.Status, passed(head), nil, true)
	} else {
		t.answer.EndStream()
	}
	return reusable, r.delivered(t)
}

// events passes whole events on, less those that the caller has already.
func (r *Relayer) events(t *try, head *framer.Head, data []byte) {
	if t.unread > 0 {
		r.firstEvent(t)
	}
	data, last := fresh(data, t.last)
	t.last = last
	if len(data) == 0 {
		return
	}
	if t.answer.Begun() {
		t.answer.WriteChunk(data)
		return
	}
	t.answer.BeginStream(head.Status, passed(head), data)
	t.first = int(r.ports.Now().Sub(t.request.ReceivedAt).Milliseconds())
	r.ports.Count.Observe("first.millis", int64(t.first))
}

// firstEvent notes that the prompt has been read.
func (r *Relayer) firstEvent(t *try) {
	t.load.PrefillTokens = 0
	own := t.load
	own.Requests, own.KVTokens, own.PrefillTokens = 0, 0, t.unread
	t.place.End(own)
	t.unread = 0
	now := r.ports.Now()
	t.place.RecordAnswer(float64(now.Sub(t.sentAt).Milliseconds()), t.choice.UnscaledMillis, now)
	r.keeps(t, true)
	t.fetched()
}

// wholeEvents returns the length of the whole events at the beginning of data.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i+4 > end && i >= 0 {
		end = i + 4
	}
	return end
}

// fresh returns the events of data after the event named last, and the name
// of the newest.
func fresh(data []byte, last string) ([]byte, string) {
	known := number(last)
	start := 0
	for at := 0; at < len(data); {
		length := firstEventEnd(data[at:])
		if id := eventID(data[at : at+length]); id != "" {
			if number(id) >= 0 && number(id) <= known {
				start = at + length
			} else {
				last = id
			}
		}
		at += length
	}
	return data[start:], last
}

func firstEventEnd(data []byte) int {
	end := len(data)
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 && i+4 < end {
		end = i + 4
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

// number returns the number that text is, or -1.
func number(text string) int64 {
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
