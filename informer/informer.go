// Package informer lets an instance that does not reach the store have the
// followed tables from another that did, so that it serves after a start
// during an outage and goes on with what is newest when it alone is cut off.
package informer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/feeder"
	"wisteriadrum/pacer"
)

const (
	// askEvery is the interval at which a peer is asked while the store does
	// not answer.
	askEvery = 300 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	service     = "Tables"
)

// Informer asks and answers other instances for tables.
type Informer struct {
	feeders []*feeder.Feeder
	dial    func(address string) (net.Conn, error)
	count   *counter.Counter
	log     *zap.Logger
}

// New returns an informer of the tables that feeders follow.
func New(feeders []*feeder.Feeder, dial func(address string) (net.Conn, error), count *counter.Counter, log *zap.Logger) *Informer {
	return &Informer{feeders: feeders, dial: dial, count: count, log: log}
}

// answerer is the side of an informer that others call.
type answerer struct {
	feeders []*feeder.Feeder
}

// Question names the versions of the tables that the asker knows.
type Question struct {
	Versions map[string]uint64
}

// Answer holds the tables of which the answerer knows more.
type Answer struct {
	Tables map[string]feeder.Page
}

// Newer answers with the tables that are newer than the asker's.
func (a *answerer) Newer(question Question, answer *Answer) error {
	answer.Tables = map[string]feeder.Page{}
	for _, feed := range a.feeders {
		page := feed.Snapshot()
		if page.Version > question.Versions[feed.Name()] {
			answer.Tables[feed.Name()] = page
		}
	}
	return nil
}

// Serve answers other instances until listener is closed.
func (i *Informer) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(service, &answerer{feeders: i.feeders}); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			i.log.Warn("connection of a peer not accepted", zap.String("error", err.Error()))
			time.Sleep(askEvery)
			continue
		}
		if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go server.ServeConn(conn)
	}
}

// Run asks one of the peers at addresses while the store does not answer,
// until ctx ends.
func (i *Informer) Run(ctx context.Context, addresses func() []string) {
	for pacer.Wait(ctx, pacer.Jitter(askEvery)) {
		if !i.lost() {
			continue
		}
		peers := addresses()
		if len(peers) == 0 {
			continue
		}
		address := peers[rand.IntN(len(peers))]
		if err := i.ask(address); err != nil {
			i.count.Add("tables", "unanswered")
			i.log.Info("peer did not tell its tables", zap.String("peer", address), zap.String("error", err.Error()))
		}
	}
}

func (i *Informer) lost() bool {
	for _, feed := range i.feeders {
		if feed.Lost() {
			return true
		}
	}
	return false
}

// ask takes in what one peer knows more.
func (i *Informer) ask(address string) error {
	conn, err := i.dial(address)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // the answer is in by then
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	question := Question{Versions: map[string]uint64{}}
	for _, feed := range i.feeders {
		question.Versions[feed.Name()] = feed.Snapshot().Version
	}
	var answer Answer
	if err := rpc.NewClient(conn).Call(service+".Newer", question, &answer); err != nil {
		return err
	}
	for _, feed := range i.feeders {
		page, ok := answer.Tables[feed.Name()]
		if ok && feed.Lost() && feed.Offer(page) {
			i.count.Add("tables", "taken")
			i.log.Info("table taken from a peer", zap.String("table", feed.Name()), zap.String("peer", address), zap.Uint64("version", page.Version))
		}
	}
	return nil
}
