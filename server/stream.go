package server

import (
	"bufio"
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"wisteriadrum/chunker"
	"wisteriadrum/resolver"
)

// stream waits for the first chunk, so that a refusal keeps its own status,
// and passes on the rest as it comes.
func (s *Server) stream(ctx *fasthttp.RequestCtx, request *resolver.Request, release func()) {
	limit, cancel := context.WithCancel(context.Background())
	sink := &pipe{events: make(chan event), gone: limit.Done()}
	go func() {
		defer release()
		defer close(sink.events)
		defer func() { sink.err = s.survived(recover(), sink.err) }()
		sink.err = s.streams.Run(limit, request, sink)
	}()
	first, ok, err := s.next(sink)
	if err != nil {
		cancel()
		s.refuse(ctx, request.ID, err)
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
			event, ok, err = s.next(sink)
		}
		s.end(writer, request.ID, err)
	})
}

// next returns the next event of sink and whether there was one; if not, the
// error says why, and is nil after a complete answer.
func (s *Server) next(sink *pipe) (event, bool, error) {
	select {
	case e, ok := <-sink.events:
		if !ok {
			return e, false, sink.err
		}
		return e, true, nil
	case <-s.quit:
		return event{}, false, aborted()
	}
}

// end closes a stream as complete, or with an event that says why it is not.
func (s *Server) end(writer *bufio.Writer, id string, err error) {
	if err == nil {
		s.count.Add("answers", "streamed")
		_, _ = writer.WriteString("data: " + chunker.Done + "\n\n")
	} else {
		refusal := s.counted(err)
		_, _ = writer.WriteString("event: error\ndata: ")
		_, _ = writer.Write(encode(refusal, id))
		_, _ = writer.WriteString("\n\n")
	}
	_ = writer.Flush()
}

// pipe is a sink that hands events to the writer of a response.
type pipe struct {
	events chan event
	gone   <-chan struct{}
	err    error // set before events is closed
}

type event struct {
	position string
	data     []byte
}

var errGone = errors.New("the caller has gone")

func (p *pipe) Send(position string, chunk chunker.Chunk) error {
	select {
	case p.events <- event{position: position, data: chunk.Encode()}:
		return nil
	case <-p.gone:
		return errGone
	}
}

func (e event) write(writer *bufio.Writer) bool {
	_, _ = writer.WriteString("id: " + e.position + "\ndata: ")
	_, _ = writer.Write(e.data)
	_, _ = writer.WriteString("\n\n")
	return writer.Flush() == nil
}
