package enforcer

import (
	"net/rpc"
	"slices"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/refiller"
)

const (
	// offerInterval is the interval to which the ends of offers are rounded down, so that
	// those of many instances are kept together.
	offerInterval = 50 * time.Millisecond
	service       = "Quotas"
)

// decide decides a request here or at the home.
func (e *Enforcer) decide(ask Ask) (Answer, error) {
	if err := ask.validate(); err != nil {
		return Answer{}, err
	}
	address, local := e.home(homeKey)
	if local || ask.Hops >= maxHops {
		return e.redistribute(ask), nil
	}
	ask.Hops++
	var answer Answer
	if err := e.ask(address, ask.Hops, ask, &answer); err != nil {
		return Answer{}, err
	}
	return answer, answer.validate()
}

// redistribute decides a request as the home. An offer whose stamp is of another process is
// not dated, and not accepted.
func (e *Enforcer) redistribute(ask Ask) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	answer := Answer{Stamp: e.stamp(now), Accepted: ask.Stamp.Process == e.process}
	for _, offer := range ask.Offers {
		if !answer.Accepted {
			break
		}
		lot := refiller.Lot{Tokens: offer.Tokens, Until: e.startedAt.Add(millis(ask.Stamp.Millis + offer.LifeMillis).Truncate(offerInterval))}
		e.pools[offer.Workspace] = e.pools[offer.Workspace].WithOffer(lot, now)
	}
	if ask.Workspace != "" {
		e.grant(ask, &answer, now)
	}
	e.settle(now)
	for name, pool := range e.pools {
		if pool.Short(now) {
			answer.Short = append(answer.Short, name)
		}
	}
	return answer
}

// grant decides on the tokens of a request. The caller holds the lock.
func (e *Enforcer) grant(ask Ask, answer *Answer, now time.Time) {
	pool := e.pools[ask.Workspace]
	next, decision := pool.Take(ask.Need, now)
	e.pools[ask.Workspace] = next
	if next.Short(now) && !pool.Short(now) {
		e.log.Info("workspace is above its limit", zap.String("workspace", ask.Workspace))
	}
	answer.Granted = decision.Granted
	if decision.Extra.Tokens > 0 {
		answer.ExtraTokens, answer.ExtraMillis = decision.Extra.Tokens, max(0, decision.Extra.Until.Sub(now).Milliseconds())
	}
	if !decision.Granted {
		answer.WaitMillis = max(1, decision.RetryAt.Sub(now).Milliseconds())
	}
}

// settle drops what need not be kept. The caller holds the lock.
func (e *Enforcer) settle(now time.Time) {
	if now.Before(e.settleAt) {
		return
	}
	e.settleAt = now.Add(settleInterval)
	for name, pool := range e.pools {
		if pool.Settled(now) {
			delete(e.pools, name)
		}
	}
	var short []string
	for name, pool := range e.pools {
		if pool.Short(now) {
			short = append(short, name)
		}
	}
	for _, name := range e.short {
		if !slices.Contains(short, name) {
			e.log.Info("workspace is within its limit again", zap.String("workspace", name))
		}
	}
	e.short = short
	e.count.Set("quota.short", len(short))
}

// stamp returns the time by the clock of this process.
func (e *Enforcer) stamp(now time.Time) Stamp {
	return Stamp{Process: e.process, Millis: now.Sub(e.startedAt).Milliseconds()}
}

// Answer decides a request of another instance, or forwards it to the home.
func (e *Enforcer) Answer(ask Ask) (Answer, error) { return e.decide(ask) }

// decider is the RPC service of an enforcer.
type decider struct{ enforce *Enforcer }

// Decide decides a request of another instance, or forwards it to the home.
func (d *decider) Decide(ask Ask, answer *Answer) error {
	decided, err := d.enforce.Answer(ask)
	*answer = decided
	return err
}

// Register adds the service that decides the requests of other instances.
func (e *Enforcer) Register(server *rpc.Server) error {
	return server.RegisterName(service, &decider{e})
}
