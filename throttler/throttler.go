// Package throttler asks for places at endpoints that have just started or recovered.
// Instances that turn to such an endpoint at the same moment do not see one another's
// choice, so one instance, the home of the endpoint, keeps its window.
package throttler

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/asker"
	"wisteriadrum/counter"
	"wisteriadrum/opener"
)

const (
	// failurePause is the time for which a home that did not answer is not asked.
	failurePause = 250 * time.Millisecond
	// retention is how long an unused window is kept, also one that has ended, so that an
	// instance that hears of the start late does not begin it again.
	retention = time.Minute
	// maxHops is the number of instances that a request passes at most: the hub of its
	// sender, and the home.
	maxHops = 2
	service = "Pace"
)

// Throttler asks for places, and grants them for the endpoints whose home this instance is.
type Throttler struct {
	// home returns the address of the instance to ask about an endpoint, which is its home
	// or forwards the request, and whether this instance is the home.
	home func(key uint64) (address string, local bool)
	// name returns the name of the endpoint with a key.
	name func(key uint64) string
	// instances returns the number of live instances.
	instances func() int
	asker     *asker.Asker
	count     *counter.Counter
	log       *zap.Logger
	now       func() time.Time

	mu sync.Mutex
	// windows are those of the endpoints whose home this instance is, shares those by
	// which it decides alone while their homes do not answer.
	windows, shares map[uint64]opener.Opener
	pruneAt         time.Time
	silentUntil     map[uint64]time.Time
}

// New returns a throttler. home returns the address of the home of the endpoint with a key
// and whether that is this instance, name the name of the endpoint, and instances the number
// of live instances.
func New(home func(key uint64) (address string, local bool), dial func(address string) (net.Conn, error), name func(key uint64) string, instances func() int, count *counter.Counter, log *zap.Logger, now func() time.Time) *Throttler {
	return &Throttler{
		home: home, asker: asker.New(service+".Decide", dial), name: name, instances: instances, count: count, log: log, now: now,
		windows: map[uint64]opener.Opener{}, shares: map[uint64]opener.Opener{}, silentUntil: map[uint64]time.Time{},
	}
}

// Take asks for a place.
func (t *Throttler) Take(ask Ask) Answer {
	answer := t.decide(ask)
	switch answer {
	case Granted:
		t.count.Add("pace", "granted")
	case Refused:
		t.count.Add("pace", "refused")
	default:
		t.count.Add("pace", "open")
	}
	return answer
}

// End ends a place with the outcome of its request.
func (t *Throttler) End(key, id uint64, outcome opener.Outcome) {
	t.decide(Ask{Key: key, ID: id, Ends: true, Outcome: outcome})
}

// decide decides a request at the home, or here by a share of what the endpoint can take if
// the home does not answer.
func (t *Throttler) decide(ask Ask) Answer {
	address, local := t.home(ask.Key)
	if local || ask.Hops >= maxHops {
		return t.grant(ask, true)
	}
	if !t.silent(ask.Key) {
		forwarded := ask
		forwarded.Hops++
		var answer Answer
		if err := t.asker.Ask(address, forwarded.Hops, forwarded, &answer); err == nil {
			return answer
		}
		t.recordSilence(ask.Key)
	}
	t.count.Add("pace", "unanswered")
	instances := max(1, t.instances())
	ask.Full = opener.Size{Requests: ask.Full.Requests / instances, Tokens: ask.Full.Tokens / instances}
	return t.grant(ask, false)
}

// grant decides a request as the home of the endpoint, or alone.
func (t *Throttler) grant(ask Ask, home bool) Answer {
	now, windows := t.now(), t.shares
	if home {
		windows = t.windows
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	window, known := windows[ask.Key]
	if ask.Ends {
		if known {
			windows[ask.Key] = t.end(window, ask, now)
		}
		return Refused
	}
	if !known {
		window = opener.New(ask.Full, now)
		t.recordBegin(ask, window, home)
	}
	if ask.RecoveredMillis > 0 {
		again := false
		if window, again = window.WithRecovery(now.Add(-time.Duration(ask.RecoveredMillis)*time.Millisecond), now); again {
			t.recordBegin(ask, window, home)
		}
	}
	if window.Ended() {
		windows[ask.Key] = window
		return Open
	}
	window, granted := window.WithPlace(ask.ID, ask.Tokens, ask.until(now), now)
	windows[ask.Key] = window
	if granted {
		return Granted
	}
	return Refused
}

// end ends a place in a window.
func (t *Throttler) end(window opener.Opener, ask Ask, now time.Time) opener.Opener {
	next, change := window.WithOutcome(ask.ID, ask.Outcome, now)
	switch change {
	case opener.Widened:
		t.count.Add("pace", "widened")
	case opener.Narrowed:
		t.count.Add("pace", "narrowed")
	case opener.Ended:
		open := next.OpenedAfter().Milliseconds()
		t.count.Add("pace", "ended")
		t.count.Observe("pace.millis", open)
		t.log.Info("window of endpoint ended", zap.String("endpoint", t.name(ask.Key)), zap.Int("requests", next.Size().Requests), zap.Int64("millis", open))
	}
	return next
}

// recordBegin counts and logs a window that begins.
func (t *Throttler) recordBegin(ask Ask, window opener.Opener, home bool) {
	t.count.Add("pace", "begun")
	t.log.Info("window of endpoint begins", zap.String("endpoint", t.name(ask.Key)), zap.Int("requests", window.Size().Requests), zap.Bool("recovered", ask.RecoveredMillis > 0), zap.Bool("home", home))
}

// prune drops the windows that were not used for long. The caller holds the lock.
func (t *Throttler) prune(now time.Time) {
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(retention)
	for _, windows := range []map[uint64]opener.Opener{t.windows, t.shares} {
		for key, window := range windows {
			if now.After(window.UsedAt().Add(retention)) {
				delete(windows, key)
			}
		}
	}
}

// silent reports whether the home of the endpoint with a key did not answer lately.
func (t *Throttler) silent(key uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Before(t.silentUntil[key])
}

// recordSilence records that the home of the endpoint with a key did not answer.
func (t *Throttler) recordSilence(key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for other, until := range t.silentUntil {
		if !now.Before(until) {
			delete(t.silentUntil, other)
		}
	}
	t.silentUntil[key] = now.Add(failurePause)
}

// decider is the RPC service of a throttler.
type decider struct{ throttle *Throttler }

// Decide decides a request of another instance, or forwards it to the home of the endpoint.
func (d *decider) Decide(ask Ask, answer *Answer) error {
	if err := ask.Validate(); err != nil {
		return err
	}
	*answer = d.throttle.decide(ask)
	return nil
}

// Register adds the service that decides the requests of other instances.
func (t *Throttler) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{t})
}
