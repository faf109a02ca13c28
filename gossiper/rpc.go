package gossiper

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/attester"
	"wisteriadrum/compressor"
	"wisteriadrum/messenger"
	"wisteriadrum/meter"
	"wisteriadrum/tabler"
)

// ConfigReply is the reply to Peer.Set: a configuration in force.
type ConfigReply struct {
	Number uint64
	Digest string
	Packed []byte // compressed by package compressor
}

// ApplyReply is the reply to Peer.Apply: the current row, and whether the write
// was committed.
type ApplyReply struct {
	Row tabler.Row
	Won bool
}

const serviceName = "Peer"

// serveTimeout limits the work of one incoming call.
const serveTimeout = 3 * time.Second

// service is the net/rpc receiver for calls of other instances. Its method names
// are part of the protocol.
type service struct {
	gossiper *Gossiper
	handler  Handler
}

// Serve answers the calls of other instances on listener until it is closed.
func (g *Gossiper) Serve(listener net.Listener, handler Handler) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{gossiper: g, handler: handler}); err != nil {
		return eris.Wrap(err, "register peer service")
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			g.count.Add("peers", "accept-failures")
			time.Sleep(serveTimeout / 100)
			continue
		}
		go server.ServeConn(meter.New(conn, g.count, "peers"))
	}
}

// Exchange merges the digest of another instance and returns this instance's.
// Quarantine cases are merged before the reply, the rest after it.
func (s *service) Exchange(digest messenger.Digest, reply *messenger.Digest) error {
	if s.gossiper.quarantine.Merge(digest.Cases, s.gossiper.now()) {
		s.gossiper.Notify()
	}
	*reply = *s.gossiper.digest()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
		defer cancel()
		s.gossiper.merge(ctx, digest)
	}()
	return nil
}

// Set returns the configuration in force. It fails if that is older than number.
func (s *service) Set(number uint64, reply *ConfigReply) error {
	index := s.gossiper.board.Index.Load()
	if index == nil || index.Number < number {
		return eris.Errorf("configuration %d is not in force on this instance", number)
	}
	*reply = ConfigReply{Number: index.Number, Digest: index.Digest, Packed: compressor.Compress(index.Source)}
	return nil
}

// Claim returns the status of a claim made by this instance.
func (s *service) Claim(token string, reply *attester.Status) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = s.handler.ClaimStatus(ctx, token)
	return nil
}

// Apply commits a write in this instance's next batch.
func (s *service) Apply(write tabler.Write, reply *ApplyReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	row, committed, err := s.handler.Apply(ctx, write)
	*reply = ApplyReply{Row: row, Won: committed}
	return err
}

// Advise chooses an endpoint for another instance, as the home of the prefix.
func (s *service) Advise(request messenger.AdviceRequest, reply *messenger.Advice) error {
	advice, err := s.handler.Decide(request)
	*reply = advice
	return err
}

// Tell records the outcome of an earlier Advise.
func (s *service) Tell(outcome messenger.Outcome, _ *struct{}) error {
	s.handler.RecordOutcome(outcome)
	return nil
}

// Advise asks the instance at address to choose an endpoint.
func (g *Gossiper) Advise(ctx context.Context, address string, request messenger.AdviceRequest) (messenger.Advice, error) {
	var advice messenger.Advice
	err := g.call(ctx, address, "Peer.Advise", request, &advice)
	return advice, err
}

// ReportOutcome sends the instance at address the outcome of its advice.
func (g *Gossiper) ReportOutcome(ctx context.Context, address string, outcome messenger.Outcome) error {
	return g.call(ctx, address, "Peer.Tell", outcome, &struct{}{})
}

// ClaimStatus asks the instance at address for the status of its claim with
// token.
func (g *Gossiper) ClaimStatus(ctx context.Context, address, token string) (attester.Status, error) {
	var status attester.Status
	err := g.call(ctx, address, "Peer.Claim", token, &status)
	return status, err
}

// Apply asks the instance at address to commit write. It returns the current row
// and whether write was committed.
func (g *Gossiper) Apply(ctx context.Context, address string, write tabler.Write) (tabler.Row, bool, error) {
	var reply ApplyReply
	err := g.call(ctx, address, "Peer.Apply", write, &reply)
	return reply.Row, reply.Won, err
}

// client is a persistent connection to one instance.
type client struct {
	*rpc.Client
}

// call calls the instance at address over a persistent connection. The
// connection is closed after a transport error or when no reply arrives within
// callTimeout. When ctx ends earlier, the connection stays open, or is opened
// further, because other calls share it.
func (g *Gossiper) call(ctx context.Context, address, method string, argument, reply any) error {
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	cached, err := g.awaitClient(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	cached.Go(method, argument, reply, done)
	select {
	case call := <-done:
		var serverError rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &serverError) {
			g.drop(address, cached)
		}
		return call.Error
	case <-timeout.C:
		g.drop(address, cached)
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitClient returns the connection to address, or an error if it is not open
// when ctx ends.
func (g *Gossiper) awaitClient(ctx context.Context, address string) (*client, error) {
	g.mu.Lock()
	cached := g.clients[address]
	g.mu.Unlock()
	if cached != nil {
		return cached, nil
	}
	type result struct {
		opened *client
		err    error
	}
	done := make(chan result, 1)
	go func() {
		opened, err := g.client(address)
		done <- result{opened, err}
	}()
	select {
	case r := <-done:
		return r.opened, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// client returns the connection to address and opens it if there is none.
func (g *Gossiper) client(address string) (*client, error) {
	g.mu.Lock()
	cached := g.clients[address]
	g.mu.Unlock()
	if cached != nil {
		return cached, nil
	}
	conn, err := g.dial(address)
	if err != nil {
		return nil, err
	}
	opened := &client{Client: rpc.NewClient(meter.New(conn, g.count, "peers"))}
	g.mu.Lock()
	defer g.mu.Unlock()
	if cached := g.clients[address]; cached != nil {
		_ = opened.Close()
		return cached, nil
	}
	g.clients[address] = opened
	return opened, nil
}

// drop closes a connection and removes it from the cache.
func (g *Gossiper) drop(address string, failed *client) {
	g.mu.Lock()
	if g.clients[address] == failed {
		delete(g.clients, address)
	}
	g.mu.Unlock()
	_ = failed.Close()
}
