package informer

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/feeder"
)

// answerer is the RPC service of an informer.
type answerer struct {
	feeders   []*feeder.Feeder
	storeDown func() bool
	known     func() ([]uint64, []int64)
	pages     *packer
	preserved *Preserved
}

// Request contains the versions of the tables at the caller.
type Request struct {
	Versions map[string]uint64
	// WaitMillis is how long the call may wait for a change.
	WaitMillis int
}

// Reply contains the tables of which the server has a newer version.
type Reply struct {
	// Tables are the encoded pages by table name.
	Tables map[string][]byte
	// AgeMillis are the ages of the pages by table name.
	AgeMillis map[string]int64
	// Changes and Complete are what the server knows, as Informer.Known returns it.
	Changes  []uint64
	Complete []int64
	// Lost reports that the store does not answer the server.
	Lost bool
}

// Newer replies with the changes that the caller does not have. If there are
// none it waits for a change, at most for the time of the request.
func (a *answerer) Newer(request Request, reply *Reply) error {
	wait := min(max(0, time.Duration(request.WaitMillis)*time.Millisecond), maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var changed []<-chan struct{}
		hasNewer := false
		for _, feed := range a.feeders {
			changed = append(changed, feed.Changed())
			hasNewer = hasNewer || feed.LastChange() > request.Versions[feed.Name()]
		}
		if hasNewer || a.storeDown() || !waitAny(changed, timer.C) {
			return a.fill(request, reply)
		}
	}
}

func (a *answerer) fill(request Request, reply *Reply) error {
	reply.Tables, reply.AgeMillis, reply.Lost = map[string][]byte{}, map[string]int64{}, a.storeDown()
	reply.Changes, reply.Complete = a.known()
	for _, feed := range a.feeders {
		known := request.Versions[feed.Name()]
		if feed.Version() <= known {
			continue
		}
		page := feed.ChangesSince(known)
		packed, err := a.pages.page(feed.Name(), known, page)
		if err != nil {
			return err
		}
		reply.Tables[feed.Name()], reply.AgeMillis[feed.Name()] = packed, page.Age.Milliseconds()
	}
	return nil
}

// waitAny waits until one of the channels is closed and returns true, or false
// if end receives first.
func waitAny(channels []<-chan struct{}, end <-chan time.Time) bool {
	quit, closed := make(chan struct{}), make(chan struct{}, len(channels))
	defer close(quit)
	for _, channel := range channels {
		go func() {
			select {
			case <-channel:
				closed <- struct{}{}
			case <-quit:
			}
		}()
	}
	select {
	case <-closed:
		return true
	case <-end:
		return false
	}
}

// Serve answers calls of other instances until listener is closed. register adds further
// services.
func (i *Informer) Serve(listener net.Listener, register ...func(*rpc.Server) error) error {
	server := rpc.NewServer()
	for _, add := range register {
		if err := add(server); err != nil {
			return err
		}
	}
	if err := server.RegisterName(service, &answerer{feeders: i.feeders, storeDown: i.storeDown, known: i.Known, pages: newPacker(), preserved: i.preserved}); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			i.log.Warn("accepting a connection of a peer failed", zap.String("error", err.Error()))
			time.Sleep(sourceCheckInterval)
			continue
		}
		go server.ServeConn(conn)
	}
}
