// Package informer exchanges the followed tables between instances. An instance
// receives changes from a source, so that only one instance of a data centre
// reads the store. It also requests tables from any peer that has newer
// versions, so that it can serve after a start during an outage of the store
// and stays up to date if only its own connection to the store fails.
package informer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/feeder"
	"wisteriadrum/pacer"
)

const (
	// catchUpDelay is how long an instance waits for a change to arrive by
	// itself before it requests it from the peer that has it: the transfer time
	// of a large table over a slow link.
	catchUpDelay = 400 * time.Millisecond
	callTimeout  = time.Second
	// maxWait bounds how long a call waits for a change. It is well below the
	// time for which the store keeps its history.
	maxWait = 4 * time.Second
	// replyMargin is added to maxWait for the latency of the reply; after it
	// the instance follows the store itself.
	replyMargin = 500 * time.Millisecond
	// sourceCheckInterval is the interval at which an instance that waits for a
	// reply checks whether its source has changed.
	sourceCheckInterval = 200 * time.Millisecond
	// sourceRetryPause is the pause after a call to the source failed.
	sourceRetryPause = 2 * time.Second
	service          = "Tables"
)

// Informer requests tables from other instances and serves their requests.
type Informer struct {
	feeders []*feeder.Feeder
	dial    func(address string) (net.Conn, error)
	// newerPeers receives peers that have newer versions.
	newerPeers chan newerPeer
	storeNow   func() (time.Time, bool)
	// storeLatest returns a time that the clock of the store has not passed.
	storeLatest func() (time.Time, bool)
	count       *counter.Counter
	log         *zap.Logger
	// awaitUntil is when the feeders poll the store if no source was found, in Unix
	// nanoseconds. hadSource means that there was one.
	awaitUntil atomic.Int64
	hadSource  atomic.Bool
	preserved  *Preserved
	// newerContent receives the address of a peer with newer preserved content.
	newerContent chan string
}

// New returns an informer of the tables that feeders follow. storeNow returns a time that the
// clock of the store has reached and storeLatest one that it has not passed, false while it
// is unknown.
func New(feeders []*feeder.Feeder, dial func(address string) (net.Conn, error), storeNow, storeLatest func() (time.Time, bool), count *counter.Counter, log *zap.Logger) *Informer {
	return &Informer{feeders: feeders, dial: dial, newerPeers: make(chan newerPeer, 1), newerContent: make(chan string, 1), storeNow: storeNow, storeLatest: storeLatest, count: count, log: log}
}

// Versions returns the versions of the last changes of the tables at this
// instance, in the order of the feeders.
func (i *Informer) Versions() []uint64 {
	versions := make([]uint64, len(i.feeders))
	for index, feed := range i.feeders {
		versions[index] = feed.LastChange()
	}
	return versions
}

// newerPeer is a peer that has newer versions of tables, and the versions of its last
// changes in the order of the feeders.
type newerPeer struct {
	address string
	changes []uint64
}

// CatchUpFrom requests the tables from the peer at address, whose last changes have the
// given versions, unless these arrive by themselves first. The call is ignored
// while another peer is queued.
func (i *Informer) CatchUpFrom(address string, changes []uint64) {
	select {
	case i.newerPeers <- newerPeer{address, changes}:
	default: // another peer is queued
	}
}

// CatchUpContentFrom requests the preserved content of the peer at address, which has a newer
// version although no change of a table is missing here. The call is ignored while another
// peer is queued.
func (i *Informer) CatchUpContentFrom(address string) {
	select {
	case i.newerContent <- address:
	default: // another peer is queued
	}
}

// AwaitSource makes the feeders wait for a source instead of polling the store,
// until the given time at most. It has no effect once there was a source.
func (i *Informer) AwaitSource(until time.Time) {
	i.awaitUntil.Store(until.UnixNano())
	if !i.hadSource.Load() {
		i.pausePolling(until)
	}
}

// Run receives the tables from the instance at the address that source returns,
// and from peers that have newer versions, until ctx ends.
func (i *Informer) Run(ctx context.Context, source func() string) {
	go i.followSource(ctx, source)
	i.catchUp(ctx)
}

// catchUp requests tables from peers that have newer versions, unless the changes of
// all tables arrive by themselves within catchUpDelay.
func (i *Informer) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-i.newerPeers:
			if !pacer.Wait(ctx, catchUpDelay) {
				return
			}
			if i.Compare(peer.changes, nil) {
				i.fetchFromPeer(peer.address)
			}
		case address := <-i.newerContent:
			if i.preserved != nil {
				i.fetchPreserved(address)
			}
		}
	}
}

// storeDown reports whether the store does not answer for one of the tables.
func (i *Informer) storeDown() bool {
	for _, feed := range i.feeders {
		if feed.StoreDown() {
			return true
		}
	}
	return false
}

// followSource receives the tables from the source while there is one that
// answers.
func (i *Informer) followSource(ctx context.Context, source func() string) {
	var client *rpc.Client
	var connected string
	for ctx.Err() == nil {
		address := source()
		if address != connected && client != nil {
			_ = client.Close() // no call is in flight
			client = nil
		}
		connected = address
		if address == "" {
			i.pauseWithoutSource()
			pacer.Wait(ctx, sourceCheckInterval)
			continue
		}
		i.hadSource.Store(true)
		var err error
		if client == nil {
			client, err = i.connect(address)
		}
		if err == nil {
			err = i.receive(client, func() bool { return source() == address })
		}
		if err == nil {
			continue
		}
		i.pausePolling(time.Time{})
		i.count.Add("tables", "unanswered")
		i.log.Info("source does not send the tables; following the store", zap.String("peer", address), zap.String("error", err.Error()))
		if client != nil {
			_ = client.Close() // the connection is not used again
			client = nil
		}
		pacer.Wait(ctx, sourceRetryPause)
	}
}

// pauseWithoutSource makes the feeders poll the store, unless the first source is
// waited for.
func (i *Informer) pauseWithoutSource() {
	until := time.Unix(0, i.awaitUntil.Load())
	if i.hadSource.Load() || !time.Now().Before(until) {
		until = time.Time{}
	}
	i.pausePolling(until)
}

func (i *Informer) connect(address string) (*rpc.Client, error) {
	conn, err := i.dial(address)
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

// errSourceLostStore means that the store does not answer the source.
var errSourceLostStore = errors.New("store does not answer the source")

// receive waits for changes from the source and applies them.
func (i *Informer) receive(client *rpc.Client, valid func() bool) error {
	begun := time.Now()
	i.pausePolling(begun.Add(maxWait + replyMargin))
	reply, err := i.call(client, maxWait, valid)
	if err != nil {
		for _, feed := range i.feeders {
			feed.MarkLost(begun)
		}
		return err
	}
	if reply.Lost {
		err = errSourceLostStore
	}
	err = errors.Join(err, i.apply(reply, func(*feeder.Feeder) {}))
	if err == nil {
		for _, feed := range i.feeders {
			feed.MarkFollowed()
		}
		i.Compare(reply.Changes, reply.Complete)
	}
	return err
}

// pausePolling makes the feeders not poll the store before the time until,
// since a source sends the changes.
func (i *Informer) pausePolling(until time.Time) {
	for _, feed := range i.feeders {
		feed.PausePolling(until)
	}
}

// errSourceGone means that the source has changed or did not reply in time.
var errSourceGone = errors.New("source has changed or did not reply in time")

// call requests newer versions. The peer may wait for a change for the time
// wait; the call is abandoned when valid returns false.
func (i *Informer) call(client *rpc.Client, wait time.Duration, valid func() bool) (Reply, error) {
	request := Request{Versions: map[string]uint64{}, WaitMillis: int(wait.Milliseconds())}
	for _, feed := range i.feeders {
		request.Versions[feed.Name()] = feed.Version()
	}
	var reply Reply
	call := client.Go(service+".Newer", request, &reply, make(chan *rpc.Call, 1))
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for begun := time.Now(); ; {
		select {
		case <-call.Done:
			return reply, call.Error
		case <-ticker.C:
			if !valid() || time.Since(begun) > wait+callTimeout {
				return Reply{}, errSourceGone
			}
		}
	}
}

// fetchFromPeer applies the newer versions of the peer at address.
func (i *Informer) fetchFromPeer(address string) {
	if err := i.fetch(address); err != nil {
		i.count.Add("tables", "unanswered")
		i.log.Info("tables not received from a peer", zap.String("peer", address), zap.String("error", err.Error()))
	}
}

func (i *Informer) fetch(address string) error {
	client, err := i.connect(address)
	if err != nil {
		return err
	}
	defer client.Close() //nolint:errcheck // the reply has been received by then
	reply, err := i.call(client, 0, func() bool { return true })
	if err != nil {
		return err
	}
	return i.apply(reply, func(feed *feeder.Feeder) {
		i.log.Info("table received from a peer", zap.String("table", feed.Name()), zap.String("peer", address), zap.Uint64("version", feed.Version()))
	})
}

// apply passes the tables of a reply to the feeders and calls applied for each
// feeder for which they were newer.
func (i *Informer) apply(reply Reply, applied func(*feeder.Feeder)) error {
	for _, feed := range i.feeders {
		data, ok := reply.Tables[feed.Name()]
		if !ok {
			continue
		}
		page, err := unpack(data)
		if err != nil {
			return err
		}
		page.Age = time.Duration(reply.AgeMillis[feed.Name()]) * time.Millisecond
		if feed.ApplyFromPeer(page) {
			i.count.Add("tables", "taken")
			applied(feed)
		}
	}
	return nil
}
