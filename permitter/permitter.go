// Package permitter asks for permits to send requests to endpoints that take only so many a
// second from all instances. One instance, the home of the endpoint, counts them.
package permitter

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"wisteriadrum/asker"
	"wisteriadrum/counter"
	"wisteriadrum/rationer"
)

const (
	// failurePause is the pause after a call to the home that was not answered. A home
	// that is lost is replaced once it counts as down.
	failurePause = 250 * time.Millisecond
	// retention is how long an unused rationer is kept.
	retention = time.Minute
	maxRate   = 1e9
	// maxHops is the number of instances that a request passes at most: the hub of its
	// sender, and the home.
	maxHops = 2
	service = "Permits"
)

// Permitter asks for permits, and grants them for the endpoints whose home this instance
// is.
type Permitter struct {
	// home returns the address of the instance to ask about an endpoint, which is its home
	// or forwards the request, and whether this instance is the home.
	home  func(key uint64) (address string, local bool)
	asker *asker.Asker
	count *counter.Counter
	now   func() time.Time

	mu        sync.Mutex
	rationers map[uint64]rationer.Rationer
}

// New returns a permitter. home returns the address of the home of the endpoint with a key
// and whether that is this instance.
func New(home func(key uint64) (address string, local bool), dial func(address string) (net.Conn, error), count *counter.Counter, now func() time.Time) *Permitter {
	return &Permitter{home: home, asker: asker.New(service+".Decide", dial), count: count, now: now, rationers: map[uint64]rationer.Rationer{}}
}

// errMalformed means that a request holds a rate that is no rate.
var errMalformed = errors.New("request for a permit holds a rate out of range")

// Take asks to send a request to the endpoint with a key, which takes perSecond requests a
// second from all instances. It returns whether the request may be sent, and when to ask
// again otherwise.
func (p *Permitter) Take(key uint64, perSecond float64) (granted bool, retryAt time.Time) {
	result, err := p.decide(Ask{Key: key, PerSecond: perSecond})
	switch {
	case err != nil:
		p.count.Add("permits", "unanswered")
		return false, p.now().Add(failurePause)
	case result.Granted:
		p.count.Add("permits", "granted")
		return true, time.Time{}
	default:
		p.count.Add("permits", "refused")
		return false, p.now().Add(time.Duration(result.WaitMillis) * time.Millisecond)
	}
}

// RecordCall counts a call to an endpoint that needs no permit.
func (p *Permitter) RecordCall(key uint64, perSecond float64) {
	if _, err := p.decide(Ask{Key: key, PerSecond: perSecond, Called: true}); err != nil {
		p.count.Add("permits", "unanswered")
	}
}

// decide decides a request here or at the home.
func (p *Permitter) decide(request Ask) (Answer, error) {
	if !(request.PerSecond >= 0 && request.PerSecond <= maxRate) {
		return Answer{}, errMalformed
	}
	address, local := p.home(request.Key)
	if local || request.Hops >= maxHops {
		return p.grant(request), nil
	}
	request.Hops++
	var answer Answer
	if err := p.asker.Ask(address, request.Hops, request, &answer); err != nil {
		return Answer{}, err
	}
	return answer, nil
}

// grant decides a request as the home of the endpoint.
func (p *Permitter) grant(request Ask) Answer {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	ration, known := p.rationers[request.Key]
	if !known {
		p.prune(now)
		ration = rationer.New(request.PerSecond, now)
	}
	ration = ration.WithRate(request.PerSecond, now)
	if request.Called {
		p.rationers[request.Key] = ration.WithCall(now)
		return Answer{Granted: true}
	}
	ration, granted, retryAt := ration.Take(now)
	p.rationers[request.Key] = ration
	if granted {
		return Answer{Granted: true}
	}
	return Answer{WaitMillis: max(1, retryAt.Sub(now).Milliseconds())}
}

// prune drops the rationers that were not used for long. The caller holds the lock.
func (p *Permitter) prune(now time.Time) {
	for key, ration := range p.rationers {
		if now.After(ration.UsedAt().Add(retention)) {
			delete(p.rationers, key)
		}
	}
}

// decider is the RPC service of a permitter.
type decider struct{ permit *Permitter }

// Decide decides a request of another instance, or forwards it to the home of the endpoint.
func (d *decider) Decide(request Ask, answer *Answer) error {
	decided, err := d.permit.decide(request)
	*answer = decided
	return err
}

// Register adds the service that decides the requests of other instances.
func (p *Permitter) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{p})
}
