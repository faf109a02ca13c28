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

// ConfigReply is a configuration as one instance gives it to another.
type ConfigReply struct {
	Number uint64
	Digest string
	Packed []byte // as package compressor does
}

// ApplyReply is the outcome of a write made for another instance.
type ApplyReply struct {
	Row tabler.Row
	Won bool
}

const serviceName = "Peer"

// serveTimeout bounds what one instance does for another in one call.
const serveTimeout = 3 * time.Second

// service is what other instances call.
type service struct {
	gossiper *Gossiper
	local    Handler
}

// Serve answers the calls of other instances on listener until it is closed.
func (g *Gossiper) Serve(listener net.Listener, local Handler) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{gossiper: g, local: local}); err != nil {
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

// Exchange takes in the digest of another instance and returns this one's.
func (s *service) Exchange(digest messenger.Digest, reply *messenger.Digest) error {
	if s.gossiper.ward.Merge(digest.Cases, s.gossiper.now()) {
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

// Set returns the configuration in force, which may be newer than number.
func (s *service) Set(number uint64, reply *ConfigReply) error {
	index := s.gossiper.board.Index.Load()
	if index == nil || index.Number < number {
		return eris.Errorf("configuration %d is not here", number)
	}
	*reply = ConfigReply{Number: index.Number, Digest: index.Digest, Packed: compressor.Compress(index.Source)}
	return nil
}

// Claim says how a claim of this instance stands.
func (s *service) Claim(token string, reply *attester.Status) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = s.local.ClaimStatus(ctx, token)
	return nil
}

// Apply commits a write together with others of this instance.
func (s *service) Apply(write tabler.Write, reply *ApplyReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	row, won, err := s.local.Apply(ctx, write)
	*reply = ApplyReply{Row: row, Won: won}
	return err
}

// Advise chooses as the home of a prefix.
func (s *service) Advise(question messenger.AdviceRequest, reply *messenger.Advice) error {
	advice, err := s.local.Decide(question)
	*reply = advice
	return err
}

// Tell takes in what came of a choice.
func (s *service) Tell(outcome messenger.Outcome, _ *struct{}) error {
	s.local.RecordOutcome(outcome)
	return nil
}

// Advise asks the instance at address for a choice.
func (g *Gossiper) Advise(ctx context.Context, address string, question messenger.AdviceRequest) (messenger.Advice, error) {
	var advice messenger.Advice
	err := g.call(ctx, address, "Peer.Advise", question, &advice)
	return advice, err
}

// ReportOutcome tells the instance at address what came of its advice.
func (g *Gossiper) ReportOutcome(ctx context.Context, address string, outcome messenger.Outcome) error {
	return g.call(ctx, address, "Peer.Tell", outcome, &struct{}{})
}

// ClaimStatus asks the instance at address how its claim with token stands.
func (g *Gossiper) ClaimStatus(ctx context.Context, address, token string) (attester.Status, error) {
	var standing attester.Status
	err := g.call(ctx, address, "Peer.Claim", token, &standing)
	return standing, err
}

// Apply asks the instance at address to commit write.
func (g *Gossiper) Apply(ctx context.Context, address string, write tabler.Write) (tabler.Row, bool, error) {
	var applied ApplyReply
	err := g.call(ctx, address, "Peer.Apply", write, &applied)
	return applied.Row, applied.Won, err
}

// client is a kept connection to one instance.
type client struct {
	*rpc.Client
}

// call calls another instance over a kept connection, which is given up after
// an error or a silence of callTimeout. A caller that waits for less leaves the
// connection to others.
func (g *Gossiper) call(ctx context.Context, address, method string, argument, reply any) error {
	silence := time.NewTimer(callTimeout)
	defer silence.Stop()
	known, err := g.client(address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	known.Go(method, argument, reply, done)
	select {
	case call := <-done:
		var served rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &served) {
			g.drop(address, known)
		}
		return call.Error
	case <-silence.C:
		g.drop(address, known)
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gossiper) client(address string) (*client, error) {
	g.mu.Lock()
	known := g.clients[address]
	g.mu.Unlock()
	if known != nil {
		return known, nil
	}
	conn, err := g.dial(address)
	if err != nil {
		return nil, err
	}
	fresh := &client{Client: rpc.NewClient(meter.New(conn, g.count, "peers"))}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.clients[address]; known != nil {
		_ = fresh.Close()
		return known, nil
	}
	g.clients[address] = fresh
	return fresh, nil
}

func (g *Gossiper) drop(address string, known *client) {
	g.mu.Lock()
	if g.clients[address] == known {
		delete(g.clients, address)
	}
	g.mu.Unlock()
	_ = known.Close()
}
