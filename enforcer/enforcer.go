// Package enforcer keeps the rate limits of workspaces over all instances, whether or not
// these can reach each other. Each instance refills its share of a limit by itself and
// offers what it has left to one instance, the home, which grants it to those that need
// more.
package enforcer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/redistributor"
	"wisteriadrum/refiller"
	"wisteriadrum/router"
)

const (
	// Method is the name of the method by which instances ask each other.
	Method = service + ".Decide"
	// failurePause is the time for which a home that did not answer is not asked for tokens.
	failurePause = 250 * time.Millisecond
	// minRefusal and maxRefusal bound the time for which requests like a refused one are
	// refused without asking again.
	minRefusal = 100 * time.Millisecond
	maxRefusal = time.Second
	// shortPause is how long after the home said so a workspace counts as short of tokens.
	shortPause = 800 * time.Millisecond
	// useInterval is the interval over which the use of an instance is summed, aheadPart the
	// part of it for which tokens are asked ahead.
	useInterval = time.Second
	aheadPart   = 0.5
	// returnLimit is how long after they were taken tokens can be used that were returned.
	// Later ones might add to those of another window.
	returnLimit = 300 * time.Millisecond
	// retryPause is when a caller may return if it is not known when there are tokens.
	retryPause = time.Second
	// settleInterval is the interval at which state that is not needed any more is dropped.
	settleInterval = time.Second
	// overshootPart is the part of the overshoot that is used. The rest allows for instances
	// that count fewer members than there are, and for requests that arrive late.
	overshootPart = 0.7
	// maxHops is the number of instances that a request passes at most: the hub of its
	// sender, and the home.
	maxHops = 2
)

// homeKey identifies the home. One home for all limits takes all offers of an instance in
// one message.
var homeKey = xxhash.Sum64String("quotas")

// Window is the rule by which limits are kept: no window of WindowMillis has more than the
// rate for it and the burst, exceeded by the part Overshoot and by Slack.
type Window struct {
	WindowMillis     int
	Overshoot, Slack float64
}

// InForce reports whether limits are kept.
func (w Window) InForce() bool { return w.WindowMillis > 0 }

// terms returns the share of a limit.
func (w Window) terms(quota router.Quota, share float64) refiller.Terms {
	seconds := float64(w.WindowMillis) / 1000
	capacity := quota.Burst + overshootPart*w.Overshoot*(quota.PerSecond*seconds+quota.Burst) + w.Slack
	return refiller.Terms{PerSecond: share * quota.PerSecond, Capacity: share * capacity}
}

// Enforcer keeps the limits at one instance, and redistributes tokens if it is the home.
type Enforcer struct {
	window Window
	// table returns the configuration in force, nil before there is one.
	table func() *router.Table
	// home returns the address of the instance to ask, which is the home or forwards the
	// request, and whether this instance is the home.
	home func(key uint64) (address string, local bool)
	// ask sends a request to the instance at an address.
	ask   func(address string, hops int, request, answer any) error
	count *counter.Counter
	log   *zap.Logger
	now   func() time.Time
	// process identifies this process, startedAt is the origin of its stamps.
	process   uint64
	startedAt time.Time

	mu    sync.Mutex
	share float64
	// applied and appliedShare are the configuration and the share of the terms of accounts.
	applied      *router.Table
	appliedShare float64
	accounts     map[string]*account
	// homeStamp is the last stamp of the home, received at stampAt and so made before.
	homeStamp   Stamp
	stampAt     time.Time
	silentUntil time.Time
	// pools, short and settleAt are the state of the home.
	pools    map[string]redistributor.Redistributor
	short    []string
	settleAt time.Time
}

// account is the state of the limit of one workspace.
type account struct {
	quota  router.Quota
	terms  refiller.Terms
	tokens refiller.Refiller
	// shortUntil is until when the home decides on all requests.
	shortUntil time.Time
	// refusals are the last refusals by rank.
	refusals map[int]refusal
	// useAt is the begin of the interval in which used tokens were taken, lastUse those of
	// the interval before.
	useAt         time.Time
	used, lastUse float64
}

// refusal is a refused request, after which none of its rank is asked for until a time that
// needs as many tokens.
type refusal struct {
	tokens float64
	until  time.Time
}

// New returns an enforcer of the limits of the configuration that table returns. process
// identifies this process among all of all instances. home returns the address of the home
// and whether that is this instance, and ask sends a request to an address.
func New(window Window, process uint64, table func() *router.Table, home func(key uint64) (address string, local bool), ask func(address string, hops int, request, answer any) error, count *counter.Counter, log *zap.Logger, now func() time.Time) *Enforcer {
	return &Enforcer{
		window: window, process: process, table: table, home: home, ask: ask, count: count, log: log, now: now, startedAt: now(),
		accounts: map[string]*account{}, pools: map[string]redistributor.Redistributor{},
	}
}

// SetShare sets the share of the limits that this instance may use.
func (e *Enforcer) SetShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
	e.update(e.now())
}

// RefusedUntil returns when requests of a workspace may be sent again with that rank and so
// many tokens, and false if that is not known to be later than now.
func (e *Enforcer) RefusedUntil(workspace string, tokens float64, rank int) (time.Time, bool) {
	if !e.window.InForce() {
		return time.Time{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.account(workspace, e.now())
	if limit == nil {
		return time.Time{}, false
	}
	return limit.refusedUntil(tokens, rank, e.now())
}

// Take takes the tokens of a request of a workspace that is about to be sent. It returns
// whether it may be sent, and otherwise when there will be tokens.
func (e *Enforcer) Take(workspace string, tokens float64, rank int) (granted bool, retryAt time.Time) {
	if !e.window.InForce() {
		return true, time.Time{}
	}
	ask, decided, granted, retryAt := e.takeOwn(workspace, tokens, rank)
	if decided {
		return granted, retryAt
	}
	askedAt := e.now()
	answer, err := e.decide(ask)
	return e.takeAnswer(ask, answer, err, askedAt)
}

// takeOwn takes the tokens of a request from those of this instance. If the home has to
// decide, it returns what to ask, and false.
func (e *Enforcer) takeOwn(workspace string, tokens float64, rank int) (ask Ask, decided, granted bool, retryAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	limit := e.account(workspace, now)
	if limit == nil {
		return Ask{}, true, true, time.Time{}
	}
	limit.recordUse(tokens, now)
	silent := now.Before(e.silentUntil)
	if limit.take(tokens, silent || !now.Before(limit.shortUntil), now) {
		e.count.Add("quota", "own")
		return Ask{}, true, true, time.Time{}
	}
	if until, refused := limit.refusedUntil(tokens, rank, now); refused {
		e.count.Add("quota", "refused")
		return Ask{}, true, false, until
	}
	if silent {
		e.count.Add("quota", "refused")
		return Ask{}, true, false, limit.readyAt(tokens, now)
	}
	need := redistributor.Request{Tokens: tokens, Extra: aheadPart * max(limit.used, limit.lastUse), Rank: rank}
	return Ask{Workspace: workspace, Need: need}, false, false, time.Time{}
}

// takeAnswer applies the answer of the home to a request that was asked for at askedAt. What
// was granted so long ago that it may count as lost elsewhere is not used.
func (e *Enforcer) takeAnswer(ask Ask, answer Answer, err error, askedAt time.Time) (granted bool, retryAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	limit := e.account(ask.Workspace, now)
	if limit == nil {
		return true, time.Time{}
	}
	if err != nil {
		e.count.Add("quota", "unanswered")
		e.silentUntil = now.Add(failurePause)
		if limit.take(ask.Need.Tokens, true, now) {
			return true, time.Time{}
		}
		return false, limit.readyAt(ask.Need.Tokens, now)
	}
	if !answer.Granted {
		e.count.Add("quota", "refused")
		wait := max(millis(answer.WaitMillis), minRefusal)
		limit.refusals[ask.Need.Rank] = refusal{ask.Need.Tokens, askedAt.Add(min(wait, maxRefusal))}
		return false, askedAt.Add(wait)
	}
	if !now.Before(askedAt.Add(redistributor.MinLife)) {
		e.count.Add("quota", "late")
		return false, now.Add(retryPause)
	}
	delete(limit.refusals, ask.Need.Rank)
	if answer.ExtraTokens > 0 {
		limit.tokens = limit.tokens.WithGrant(refiller.Lot{Tokens: answer.ExtraTokens, Until: askedAt.Add(millis(answer.ExtraMillis))}, now)
	}
	e.count.Add("quota", "granted")
	return true, time.Time{}
}

// Return returns the tokens that a request took at takenAt, since it has not run.
func (e *Enforcer) Return(workspace string, tokens float64, takenAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	limit := e.accounts[workspace]
	if limit == nil {
		return
	}
	limit.tokens = limit.tokens.WithGrant(refiller.Lot{Tokens: tokens, Until: takenAt.Add(returnLimit)}, now)
	e.count.Add("quota", "returned")
}

// Offer offers the tokens that this instance has left to the home. It is called
// periodically.
func (e *Enforcer) Offer() {
	ask, lots := e.offers()
	if len(lots) == 0 {
		return
	}
	answer, err := e.decide(ask)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if err != nil {
		e.count.Add("quota", "offers-unanswered")
		e.silentUntil = now.Add(failurePause)
		return
	}
	if answer.Stamp.Process != e.homeStamp.Process {
		e.count.Add("quota", "homes")
	}
	e.homeStamp, e.stampAt = answer.Stamp, now
	for name, lot := range lots {
		if limit := e.accounts[name]; limit != nil && !answer.Accepted {
			limit.tokens = limit.tokens.WithoutOffer(lot, now)
		}
	}
	for _, name := range answer.Short {
		if limit := e.accounts[name]; limit != nil && limit.terms.Shared() {
			limit.shortUntil = now.Add(shortPause)
		}
	}
}

// offers returns a request with the offers of all limits, and these by workspace.
func (e *Enforcer) offers() (Ask, map[string]refiller.Lot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.update(now)
	if e.share == 0 {
		return Ask{}, nil
	}
	ask, lots := Ask{Stamp: e.homeStamp}, map[string]refiller.Lot{}
	for name, limit := range e.accounts {
		next, lot := limit.tokens.Offer(now.Before(limit.shortUntil), now)
		limit.tokens, lots[name] = next, lot
		if lot.Tokens > 0 {
			ask.Offers = append(ask.Offers, Offer{Workspace: name, Tokens: lot.Tokens, LifeMillis: lot.Until.Sub(e.stampAt).Milliseconds()})
		}
	}
	slices.SortFunc(ask.Offers, func(a, b Offer) int { return strings.Compare(a.Workspace, b.Workspace) })
	return ask, lots
}

// account returns the state of the limit of a workspace, nil if it has none. The caller
// holds the lock.
func (e *Enforcer) account(workspace string, now time.Time) *account {
	e.update(now)
	return e.accounts[workspace]
}

// update applies a change of the configuration or of the share. The caller holds the lock.
func (e *Enforcer) update(now time.Time) {
	table := e.table()
	if table == nil || table == e.applied && e.share == e.appliedShare {
		return
	}
	e.applied, e.appliedShare = table, e.share
	for name := range e.accounts {
		if !table.Quotas[name].Limited() {
			delete(e.accounts, name)
		}
	}
	for name, quota := range table.Quotas {
		limit := e.accounts[name]
		if limit == nil {
			limit = &account{tokens: refiller.New(now), refusals: map[int]refusal{}}
			e.accounts[name] = limit
		}
		if quota.PerSecond < limit.quota.PerSecond || quota.Burst < limit.quota.Burst {
			limit.tokens = limit.tokens.WithoutGrants()
			delete(e.pools, name)
		}
		if terms := e.window.terms(quota, e.share); limit.quota != quota || limit.terms != terms {
			limit.quota, limit.terms, limit.tokens = quota, terms, limit.tokens.WithTerms(terms, now)
		}
	}
}

// take takes tokens if there are as many, own ones too if own is set.
func (a *account) take(tokens float64, own bool, now time.Time) bool {
	next, taken := a.tokens.Take(tokens, own, now)
	a.tokens = next
	return taken
}

// refusedUntil returns until when a request is refused like the last one of its rank, and
// whether it is.
func (a *account) refusedUntil(tokens float64, rank int, now time.Time) (time.Time, bool) {
	last := a.refusals[rank]
	return last.until, now.Before(last.until) && tokens >= last.tokens/2
}

// readyAt returns when a caller may return that is refused without an answer of the home.
func (a *account) readyAt(tokens float64, now time.Time) time.Time {
	if at, known := a.tokens.ReadyAt(tokens, now); known {
		return at
	}
	return now.Add(retryPause)
}

// recordUse records a request that may be served by the tokens of one instance.
func (a *account) recordUse(tokens float64, now time.Time) {
	if elapsed := now.Sub(a.useAt); elapsed >= useInterval {
		a.lastUse, a.used, a.useAt = a.used, 0, now
		if elapsed >= 2*useInterval {
			a.lastUse = 0
		}
	}
	if tokens <= a.terms.Capacity {
		a.used += tokens
	}
}
