package informer

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/feeder"
)

// answerer is the side of an informer that others call.
type answerer struct {
	feeders []*feeder.Feeder
	lost    func() bool
	pack    *packer
}

// Request names the versions of the tables that the asker knows.
type Request struct {
	Versions map[string]uint64
	// WaitMillis is for how long the answer may wait for a change.
	WaitMillis int
}

// Reply holds the tables of which the answerer knows more.
type Reply struct {
	// Tables are packed pages by the names of the tables.
	Tables map[string][]byte
	// Lost reports that the answerer does not reach the store.
	Lost bool
}

// Newer answers with what is newer than the asker's tables, at once if there
// is any, and else after a change or the wait.
func (a *answerer) Newer(question Request, answer *Reply) error {
	wait := min(max(0, time.Duration(question.WaitMillis)*time.Millisecond), waitMost)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var changed []<-chan struct{}
		news := false
		for _, feed := range a.feeders {
			changed = append(changed, feed.Changed())
			news = news || feed.LastChange() > question.Versions[feed.Name()]
		}
		if news || a.lost() || !anyOf(changed, timer.C) {
			return a.fill(question, answer)
		}
	}
}

func (a *answerer) fill(question Request, answer *Reply) error {
	answer.Tables, answer.Lost = map[string][]byte{}, a.lost()
	for _, feed := range a.feeders {
		known := question.Versions[feed.Name()]
		if feed.Version() <= known {
			continue
		}
		packed, err := a.pack.page(feed.Name(), known, feed.ChangesSince(known))
		if err != nil {
			return err
		}
		answer.Tables[feed.Name()] = packed
	}
	return nil
}

// anyOf waits for one of the channels and reports whether one came before end.
func anyOf(channels []<-chan struct{}, end <-chan time.Time) bool {
	quit, one := make(chan struct{}), make(chan struct{}, len(channels))
	defer close(quit)
	for _, channel := range channels {
		go func() {
			select {
			case <-channel:
				one <- struct{}{}
			case <-quit:
			}
		}()
	}
	select {
	case <-one:
		return true
	case <-end:
		return false
	}
}

// Serve answers other instances until listener is closed.
func (i *Informer) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(service, &answerer{feeders: i.feeders, lost: i.lost, pack: newPacker()}); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			i.log.Warn("connection of a peer not accepted", zap.String("error", err.Error()))
			time.Sleep(sourceCheck)
			continue
		}
		go server.ServeConn(conn)
	}
}
