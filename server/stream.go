package server

import (
	"bufio"
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"wisteriadrum/chunker"
	"wisteriadrum/resolver"
)

// serveStream waits for the first chunk before it writes the response header, so
// that a refusal before that keeps its own HTTP status, and then forwards chunks
// as they arrive.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, request *resolver.Request, release func()) {
	runCtx, cancel := context.WithCancel(context.Background())
	sink := &streamSink{events: make(chan event), callerGone: runCtx.Done()}
	go func() {
		defer release()
		defer close(sink.events)
		defer func() { sink.err = s.recoveredRefusal(recover(), sink.err) }()
		sink.err = s.streams.Run(runCtx, request, sink)
	}()
	first, ok, err := s.nextEvent(sink)
	if err != nil {
		cancel()
		s.writeRefusal(ctx, request.ID, err)
		return
	}
	ctx.SetContentType(eventStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer cancel()
		event := first
		for ok {
			if !event.write(writer) {
				return
			}
			event, ok, err = s.nextEvent(sink)
		}
		s.finishStream(writer, request.ID, err)
	})
}

// nextEvent returns the next event of sink. It returns false at the end of the
// answer, with a nil error only if the answer is complete.
func (s *Server) nextEvent(sink *streamSink) (event, bool, error) {
	select {
	case e, ok := <-sink.events:
		if !ok {
			return e, false, sink.err
		}
		return e, true, nil
	case <-s.aborted:
		return event{}, false, abortedRefusal()
	}
}

// finishStream ends a stream with the done event or, if err is not nil, with an
// error event.
func (s *Server) finishStream(writer *bufio.Writer, id string, err error) {
	if err == nil {
		s.count.Add("answers", "streamed")
		_, _ = writer.WriteString("data: " + chunker.Done + "\n\n")
	} else {
		refusal := s.countRefusal(err)
		_, _ = writer.WriteString("event: error\ndata: ")
		_, _ = writer.Write(encode(refusal, id))
		_, _ = writer.WriteString("\n\n")
	}
	_ = writer.Flush()
}

// streamSink is a sink that passes events to the writer of a response.
type streamSink struct {
	events     chan event
	callerGone <-chan struct{}
	err        error // set before events is closed
}

type event struct {
	id   string
	data []byte
}

var errCallerGone = errors.New("the caller has gone")

func (s *streamSink) Send(id string, chunk chunker.Chunk) error {
	select {
	case s.events <- event{id: id, data: chunk.Encode()}:
		return nil
	case <-s.callerGone:
		return errCallerGone
	}
}

func (e event) write(writer *bufio.Writer) bool {
	_, _ = writer.WriteString("id: " + e.id + "\ndata: ")
	_, _ = writer.Write(e.data)
	_, _ = writer.WriteString("\n\n")
	return writer.Flush() == nil
}
