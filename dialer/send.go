package dialer

import (
	"bufio"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriadrum/caller"
	"wisteriadrum/judge"
	"wisteriadrum/pooler"
	"wisteriadrum/refuser"
)

// countingWriter counts the bytes that were written to a connection.
type countingWriter struct {
	net.Conn
	written int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.written += n
	return n, err
}

// send writes the request for call to conn. The verdict of its error is
// judge.NotRun only if no byte was written.
func send(conn *pooler.Conn, call caller.Call) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	buildRequest(request, call)
	if err := conn.SetWriteDeadline(call.FirstByteDeadline); err != nil {
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "%s: %s", call.Address, err)
	}
	counting := &countingWriter{Conn: conn.Conn}
	writer := bufio.NewWriter(counting)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err == nil {
		return nil
	}
	if counting.written == 0 {
		return refuser.New(refuser.UpstreamLost, judge.NotRun, "write to %s: %s", call.Address, err)
	}
	return transportError(call, err)
}

func buildRequest(request *fasthttp.Request, call caller.Call) {
	head := &request.Header
	head.SetMethod(call.Method)
	request.SetRequestURI("http://" + call.Address + call.Path)
	request.SetBody(call.Body)
	if call.ContentType != "" {
		head.SetContentType(call.ContentType)
	}
	set := func(name, value string) {
		if value != "" {
			head.Set(name, value)
		}
	}
	set(HeaderAttemptID, call.Attempt)
	set(HeaderSalt, call.Salt)
	set(HeaderWeightsVersion, call.Weights)
	if call.Priority != 0 {
		set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	if call.ResumeOnly {
		set(HeaderLastEventID, strconv.Itoa(call.ResumeAfter))
	}
	if !call.StartDeadline.IsZero() {
		set(HeaderStartBy, call.StartDeadline.UTC().Format(time.RFC3339Nano))
	}
}
