// Package relayer brings requests to endpoints and their answers back to the
// callers. It decides what may be sent again, and what a caller is told when
// nothing more can be done.
package relayer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/placer"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/queuer"
	"wisteriadrum/refuser"
	"wisteriadrum/registrar"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
	"wisteriadrum/translator"
)

const (
	// mostSends bounds how often a request is sent that endpoints refuse
	// without running it.
	mostSends = 4
	// sendMargin is kept for the answer's way back to the caller.
	sendMargin = 10 * time.Millisecond
	// seatEvery is the mean interval at which a waiting request looks for room.
	seatEvery = 20 * time.Millisecond
	// retryAfter is when a caller may come back if nothing better is known:
	// about the time in which the list of endpoints follows a change.
	retryAfter = time.Second
)

// Relayer relays requests.
type Relayer struct {
	ports Dependencies

	mu      sync.Mutex
	budgets map[string]*budgeter.Budget
	queues  map[string]*queuer.Queue
	live    map[*try]struct{}
	share   int
}

// Dependencies are what a relayer works with.
type Dependencies struct {
	Translator translator.Translator
	Registrar  *registrar.Registrar
	Pool       *pooler.Pool
	Quarantine *quarantiner.Registry
	// RetryRule bounds the retries for each pool.
	RetryRule budgeter.Rule
	// DataCentre is the one of this instance.
	DataCentre string
	// WeightsExpiry is the time after which weights that are not the newest are out
	// of use.
	WeightsExpiry time.Duration
	// AnnouncePart tells the other instances that an endpoint keeps a part.
	AnnouncePart func(place *monitor.Monitor, part uint64, tokens int, ready bool)
	// QueryWeights asks an engine which weights it has.
	QueryWeights func(place *monitor.Monitor)
	// AnnounceCrash tells the other instances of a request that crashed an endpoint.
	AnnounceCrash func(quarantiner.Case)
	Count         *counter.Counter
	Log           *zap.Logger
	Now           func() time.Time
}

// New returns a relayer.
func New(ports Dependencies) *Relayer {
	return &Relayer{
		ports: ports, budgets: map[string]*budgeter.Budget{}, queues: map[string]*queuer.Queue{}, live: map[*try]struct{}{}, share: 1,
	}
}

// SetInstances divides the budgets of retries among so many instances.
func (r *Relayer) SetInstances(instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = instances
	for _, budget := range r.budgets {
		budget.SetInstances(instances)
	}
}

func (r *Relayer) budget(pool string) *budgeter.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budgets[pool]
	if budget == nil {
		budget = budgeter.New(r.ports.RetryRule, r.ports.Now)
		budget.SetInstances(r.share)
		r.budgets[pool] = budget
	}
	return budget
}

func (r *Relayer) queue(pool string) *queuer.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[pool]
	if queue == nil {
		queue = queuer.New()
		r.queues[pool] = queue
	}
	return queue
}

// course is the state of one request.
type course struct {
	request *requester.Request
	answer  *responder.Responder
	ends    time.Time
	tried   []*monitor.Monitor
	// sends counts all sends, runs those after which it may have run.
	sends, runs int
	// paid reports that the next send was taken from the budget already.
	paid bool
	// last is the last event that was passed on.
	last   string
	choice placer.Choice
	// waited is the time for which no engine had room.
	waited time.Duration
	// first is the time until the answer began, in milliseconds.
	first int
	// place is the endpoint of the choice, source the one to fetch parts from.
	place, source *monitor.Monitor
}

// Run answers request through answer. It returns the refusal with which the
// request ended, or nil after a whole answer. ctx ends when the caller leaves.
func (r *Relayer) Run(ctx context.Context, request *requester.Request, answer *responder.Responder) *refuser.Refusal {
	c := &course{request: request, answer: answer, ends: request.EffectiveDeadline(), last: request.LastEventID}
	r.budget(request.Pool.Name).RecordRequest()
	refusal := r.course(ctx, c)
	r.record(c, refusal)
	return refusal
}

func (r *Relayer) course(ctx context.Context, c *course) *refuser.Refusal {
	ran := judge.NotRun
	var cause *refuser.Refusal
	for {
		if refusal := r.next(ctx, c, ran); refusal != nil {
			if cause != nil && refusal.Code == refuser.NoEndpoint {
				refusal = cause.WithRetryAt(refusal.RetryAt)
			}
			return refusal.WithVerdict(max(ran, refusal.Ran))
		}
		r.placed(c)
		cause = r.attempt(ctx, c)
		if cause == nil {
			return nil
		}
		ran = max(ran, cause.Ran)
		if cause.Ran != judge.NotRun {
			c.runs++
		}
		if !r.again(ctx, c, cause) {
			return cause.WithVerdict(ran)
		}
		r.failed(c, cause)
	}
}

// next finds the place of the next attempt.
func (r *Relayer) next(ctx context.Context, c *course, ran judge.Verdict) *refuser.Refusal {
	now := r.ports.Now()
	if ctx.Err() != nil {
		return refuser.New(refuser.CallerGone, ran, "the caller left")
	}
	if !now.Add(sendMargin).Before(c.ends) {
		return refuser.New(refuser.Timeout, ran, "no time is left")
	}
	if refusal := r.recheck(c.request); refusal != nil {
		return refusal
	}
	suspect, known := r.ports.Quarantine.Find(c.request.Fingerprint, now)
	if known && suspect.Refused() {
		return refuser.New(refuser.Quarantined, judge.NotRun, "the request crashed %d endpoints", len(suspect.Losses)).WithRetryAt(suspect.Until)
	}
	return r.seat(ctx, c)
}

// again decides whether the request goes to another endpoint after cause.
func (r *Relayer) again(ctx context.Context, c *course, cause *refuser.Refusal) bool {
	if ctx.Err() != nil || c.answer.Err() != nil {
		return false
	}
	if cause.Ran != judge.NotRun && (!c.request.Repeatable() || c.runs >= c.request.Route.Attempts) {
		return false
	}
	if c.sends >= mostSends {
		return false
	}
	if c.sends > 0 && !c.paid && !r.budget(c.request.Pool.Name).TryRetry() {
		r.ports.Count.Add("retry", "exhausted")
		return false
	}
	c.paid = false
	c.tried = append(c.tried, c.place)
	return true
}

func (c *course) has(place *monitor.Monitor) bool {
	for _, tried := range c.tried {
		if tried == place {
			return true
		}
	}
	return false
}

// passed returns the fields of an endpoint's answer that go to the caller.
func passed(head *framer.Head) []framer.Field {
	fields := make([]framer.Field, 0, len(head.Fields))
	for _, field := range head.Fields {
		if !head.IsHopByHop(field.Name) {
			fields = append(fields, field)
		}
	}
	return fields
}
