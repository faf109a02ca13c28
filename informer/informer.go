// Package informer lets instances have the followed tables from one another:
// from a source, so that the store answers only one of a data centre, and from
// any peer that knows more, so that an instance serves after a start during an
// outage and goes on with what is newest when it alone is cut off.
package informer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/feeder"
	"wisteriadrum/pacer"
)

const (
	// behindFor is how long an instance waits for news to come by itself
	// before it asks the peer that knows more: the way of a large table over a
	// slow link.
	behindFor = 400 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// waitMost is how long a source keeps a question until it knows more: well
	// within the history that the store keeps.
	waitMost = 4 * time.Second
	// supplySlack is added to the wait for the answer's way; after it the
	// instance follows the store by itself.
	supplySlack = 500 * time.Millisecond
	// sourceCheck is the interval at which one that waits for its source
	// looks whether it still is.
	sourceCheck = 200 * time.Millisecond
	// sourcePause is how long a source that does not answer is left alone.
	sourcePause = 2 * time.Second
	service     = "Tables"
)

// Informer asks and answers other instances for tables.
type Informer struct {
	feeders []*feeder.Feeder
	dial    func(address string) (net.Conn, error)
	behind  chan string
	count   *counter.Counter
	log     *zap.Logger
}

// New returns an informer of the tables that feeders follow.
func New(feeders []*feeder.Feeder, dial func(address string) (net.Conn, error), count *counter.Counter, log *zap.Logger) *Informer {
	return &Informer{feeders: feeders, dial: dial, behind: make(chan string, 1), count: count, log: log}
}

// Versions returns the versions of the last changes of the tables that are
// known here.
func (i *Informer) Versions() []uint64 {
	versions := make([]uint64, len(i.feeders))
	for at, feed := range i.feeders {
		versions[at] = feed.LastChange()
	}
	return versions
}

// CatchUpFrom says that the peer at address knows a newer change.
func (i *Informer) CatchUpFrom(address string) {
	select {
	case i.behind <- address:
	default: // another peer is about to be asked
	}
}

// Run has the tables from the instance at the address that source returns, and
// asks peers that know more, until ctx ends.
func (i *Informer) Run(ctx context.Context, source func() string) {
	go i.follow(ctx, source)
	i.catchUp(ctx)
}

// catchUp asks peers that know more, if what they know does not come by
// itself.
func (i *Informer) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-i.behind:
			before := i.Versions()
			if !pacer.Wait(ctx, behindFor) {
				return
			}
			if !moved(before, i.Versions()) {
				i.askOnce(address)
			}
		}
	}
}

func moved(before, after []uint64) bool {
	for at, version := range after {
		if version > before[at] {
			return true
		}
	}
	return false
}

func (i *Informer) lost() bool {
	for _, feed := range i.feeders {
		if feed.StoreDown() {
			return true
		}
	}
	return false
}

// follow has the tables from the source while there is one that answers.
func (i *Informer) follow(ctx context.Context, source func() string) {
	var client *rpc.Client
	var from string
	for ctx.Err() == nil {
		address := source()
		if address != from && client != nil {
			_ = client.Close() // nothing is lost with it
			client = nil
		}
		from = address
		if address == "" {
			i.supply(time.Time{})
			pacer.Wait(ctx, sourceCheck)
			continue
		}
		var err error
		if client == nil {
			client, err = i.connect(address)
		}
		if err == nil {
			err = i.await(client, func() bool { return source() == address })
		}
		if err == nil {
			continue
		}
		i.supply(time.Time{})
		i.count.Add("tables", "unanswered")
		i.log.Info("source does not tell the tables; the store is followed", zap.String("peer", address), zap.String("error", err.Error()))
		if client != nil {
			_ = client.Close() // it failed
			client = nil
		}
		pacer.Wait(ctx, sourcePause)
	}
}

func (i *Informer) connect(address string) (*rpc.Client, error) {
	conn, err := i.dial(address)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

// errLost is the answer of a source that does not reach the store.
var errLost = errors.New("the source has lost the store")

// await waits for news from the source and takes them in.
func (i *Informer) await(client *rpc.Client, valid func() bool) error {
	i.supply(time.Now().Add(waitMost + supplySlack))
	answer, err := i.call(client, waitMost, valid)
	if err != nil {
		return err
	}
	if answer.Lost {
		err = errLost
	}
	return errors.Join(err, i.take(answer, func(*feeder.Feeder) {}))
}

// supply tells the feeders that a source brings the tables until by.
func (i *Informer) supply(by time.Time) {
	for _, feed := range i.feeders {
		feed.PausePolling(by)
	}
}

// errGone means that a source is none any more or is silent.
var errGone = errors.New("the source is gone")

// call asks for what is newer, for which the peer may wait while it is valid.
func (i *Informer) call(client *rpc.Client, wait time.Duration, valid func() bool) (Reply, error) {
	question := Request{Versions: map[string]uint64{}, WaitMillis: int(wait.Milliseconds())}
	for _, feed := range i.feeders {
		question.Versions[feed.Name()] = feed.Version()
	}
	var answer Reply
	call := client.Go(service+".Newer", question, &answer, make(chan *rpc.Call, 1))
	ticker := time.NewTicker(sourceCheck)
	defer ticker.Stop()
	for begun := time.Now(); ; {
		select {
		case <-call.Done:
			return answer, call.Error
		case <-ticker.C:
			if !valid() || time.Since(begun) > wait+callTimeout {
				return Reply{}, errGone
			}
		}
	}
}

// askOnce takes in what the peer at address knows more.
func (i *Informer) askOnce(address string) {
	if err := i.ask(address); err != nil {
		i.count.Add("tables", "unanswered")
		i.log.Info("peer did not tell its tables", zap.String("peer", address), zap.String("error", err.Error()))
	}
}

func (i *Informer) ask(address string) error {
	client, err := i.connect(address)
	if err != nil {
		return err
	}
	defer client.Close() //nolint:errcheck // the answer is in by then
	answer, err := i.call(client, 0, func() bool { return true })
	if err != nil {
		return err
	}
	return i.take(answer, func(feed *feeder.Feeder) {
		i.log.Info("table taken from a peer", zap.String("table", feed.Name()), zap.String("peer", address), zap.Uint64("version", feed.Version()))
	})
}

// take offers what an answer brings to the feeders and calls taken for those
// that take it.
func (i *Informer) take(answer Reply, taken func(*feeder.Feeder)) error {
	for _, feed := range i.feeders {
		data, ok := answer.Tables[feed.Name()]
		if !ok {
			continue
		}
		page, err := unpack(data)
		if err != nil {
			return err
		}
		if feed.ApplyFromPeer(page) {
			i.count.Add("tables", "taken")
			taken(feed)
		}
	}
	return nil
}
