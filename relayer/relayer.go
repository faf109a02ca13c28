// Package relayer sends requests to endpoints and relays the answers to the
// callers. It decides whether a request is retried, and which refusal a caller
// receives otherwise.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/allotter"
	"wisteriadrum/budgeter"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/drainer"
	"wisteriadrum/framer"
	"wisteriadrum/judge"
	"wisteriadrum/monitor"
	"wisteriadrum/opener"
	"wisteriadrum/pooler"
	"wisteriadrum/quarantiner"
	"wisteriadrum/queuer"
	"wisteriadrum/refuser"
	"wisteriadrum/registrar"
	"wisteriadrum/requester"
	"wisteriadrum/reserver"
	"wisteriadrum/responder"
	"wisteriadrum/throttler"
	"wisteriadrum/translator"
)

const (
	// maxSends limits how often a request is sent if endpoints refuse it
	// without running it.
	maxSends = 4
	// maxPermitAsks limits for how many endpoints a request asks for a permit before it
	// waits.
	maxPermitAsks = 4
	// claimSample is the mean number of engines of which a request that waits chooses one.
	claimSample = 3
	// maxRoomAsks limits at how many engines a request asks for room before it waits.
	maxRoomAsks = 2
	// answerMargin is reserved for sending the answer to the caller.
	answerMargin = 10 * time.Millisecond
	// roomCheckInterval is the mean interval at which a waiting request asks for room at
	// an engine, heldCheckInterval that at which it checks for an endpoint that may get
	// requests.
	roomCheckInterval = 60 * time.Millisecond
	heldCheckInterval = 20 * time.Millisecond
	// lateWeightsPart is the part of WeightsMargin in which no request is sent to
	// older weights any more.
	lateWeightsPart = 2
	// retryAfter is the default delay after which a caller may retry: about the
	// time until a change of the endpoints appears in their list.
	retryAfter = time.Second
	// retrySpread is the time over which callers return that were refused since all
	// endpoints want no requests until the same time.
	retrySpread = 200 * time.Millisecond
)

// Relayer relays requests.
type Relayer struct {
	deps Dependencies

	mu      sync.Mutex
	budgets map[string]*budgeter.Budget
	queues  map[string]*queuer.Queue
	watched map[*attempt]struct{}
	// watchStarted receives a value when an attempt is added to watched.
	watchStarted chan struct{}
	instances    int
	// retryShare is the share of the extra retries that this instance may use.
	retryShare float64
	// terms are those of a planned stop, nil before it.
	terms atomic.Pointer[drainer.Drainer]
	// aborted ends when the requests in progress are to end, which abort causes.
	aborted context.Context
	abort   context.CancelFunc
}

// Dependencies are the collaborators and settings of a relayer.
type Dependencies struct {
	Translator translator.Translator
	Registrar  *registrar.Registrar
	Pool       *pooler.Pool
	// Received bounds the memory of the answers that are being received.
	Received   *allotter.Allotter
	Quarantine *quarantiner.Registry
	// Detector finds the parts of prompts that crash endpoints.
	Detector *detector.Detector
	// RetryRule limits the retries of each pool.
	RetryRule budgeter.Rule
	// DataCentre is the data centre of this instance.
	DataCentre string
	// WeightsMargin is how long before older weights go out of use requests are
	// sent to newer ones if an engine has them. In the last half of it no
	// request is sent to older ones, since it may wait at the engine.
	WeightsMargin time.Duration
	// WeightsPeriod is how long older weights may be used after newer ones were
	// announced.
	WeightsPeriod time.Duration
	// FollowedSince returns since when this instance has received the announcements
	// without interruption, the zero time while it does not, and whether that is since
	// its start.
	FollowedSince func() (since time.Time, fromStart bool)
	// AnnouncePart announces to the other instances that an endpoint caches a part,
	// or is prefilling it if ready is false, or has stopped doing so if tokens is 0.
	// Other requests have a shared part too.
	AnnouncePart func(endpoint *monitor.Monitor, part uint64, tokens int, ready, shared bool)
	// QueryWeights requests an engine's current weights versions.
	QueryWeights func(endpoint *monitor.Monitor)
	// AnnounceCrash announces to the other instances that a request crashed an
	// endpoint.
	AnnounceCrash func(quarantiner.Case)
	// AnnounceSuspects announces to the other instances what is known of parts that
	// may crash endpoints.
	AnnounceSuspects func([]detector.Suspect)
	// AnnounceSaid announces to the other instances what an endpoint has said of
	// itself. limitEnded means that it has stopped naming a limit.
	AnnounceSaid func(endpoint *monitor.Monitor, limitEnded bool)
	// AnnounceTaken announces to the other instances that another endpoint has the address
	// of an endpoint, AnnounceRefusing that nothing listens there.
	AnnounceTaken, AnnounceRefusing func(endpoint *monitor.Monitor)
	// TakePermit asks to send a request to the endpoint with a key, which takes perSecond
	// requests a second from all instances. It returns whether the request may be sent,
	// and when to ask again otherwise.
	TakePermit func(key uint64, perSecond float64) (granted bool, retryAt time.Time)
	// TakeTurn asks to send a request whose prompt has parts on probation, of which all
	// instances send only a few at a time. If it is granted, end is called when the request
	// is not under way any more, at until at the latest.
	TakeTurn func(scope uint64, parts []detector.Probation, until time.Time) (end func(), granted bool)
	// TakeRoom asks for room for a prompt at the engine with a key.
	TakeRoom func(key uint64, request reserver.Request) reserver.Answer
	// EndClaim ends the claim for room of the prompt with an id at the engine with a key.
	EndClaim func(key, id uint64)
	// Quotas keeps the limits of workspaces.
	Quotas Quotas
	// TakePlace asks for a place at an endpoint that has just started or recovered, EndPlace
	// ends the place of the request with an id.
	TakePlace func(ask throttler.Ask) throttler.Answer
	EndPlace  func(key, id uint64, outcome opener.Outcome)
	// LastUseMillis is how long an endpoint may still get requests after it has said
	// that it leaves.
	LastUseMillis int
	Count         *counter.Counter
	Log           *zap.Logger
	Now           func() time.Time
}

// New returns a relayer.
func New(deps Dependencies) *Relayer {
	aborted, abort := context.WithCancel(context.Background())
	return &Relayer{
		aborted: aborted, abort: abort, deps: deps, budgets: map[string]*budgeter.Budget{}, queues: map[string]*queuer.Queue{}, watched: map[*attempt]struct{}{}, watchStarted: make(chan struct{}, 1), instances: 1,
	}
}

// SetInstances sets the number of live instances, which share what endpoints with a limit
// take.
func (r *Relayer) SetInstances(instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = instances
}

// SetRetryShare sets the share of the extra retries that this instance may use. Until then
// it may use none.
func (r *Relayer) SetRetryShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryShare = share
	for _, budget := range r.budgets {
		budget.SetShare(share)
	}
}

// budget returns the retry budget of a pool.
func (r *Relayer) budget(pool string) *budgeter.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budgets[pool]
	if budget == nil {
		budget = budgeter.New(r.deps.RetryRule, r.retryShare, r.deps.Now)
		r.budgets[pool] = budget
	}
	return budget
}

// queue returns the queue of the requests that wait until an endpoint of a pool may get
// requests.
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

// Run sends request to an endpoint and relays the answer. It returns the
// refusal with which the request ended, or nil after a complete answer. ctx is
// cancelled when the caller disconnects.
func (r *Relayer) Run(ctx context.Context, request *requester.Request, answer *responder.Responder) *refuser.Refusal {
	e := &exchange{request: request, answer: answer, deadline: request.EffectiveDeadline(), lastEventID: request.LastEventID}
	r.budget(request.Pool.Name).RecordRequest()
	ctx, release := r.withAbort(ctx)
	defer release()
	refusal := r.relay(ctx, e)
	if refusal == nil {
		r.clearRequest(e)
	}
	r.recordEnd(e, refusal)
	return refusal
}

// relay makes attempts until one succeeds or the request must not be retried.
func (r *Relayer) relay(ctx context.Context, e *exchange) *refuser.Refusal {
	defer e.cancelRetry()
	defer func() { r.endPlace(e, opener.Unsent) }()
	ran := judge.NotRun
	var cause *refuser.Refusal
	for {
		if refusal := r.prepareAttempt(ctx, e, ran); refusal != nil {
			if cause != nil && (refusal.Code == refuser.NoEndpoint || refusal.Code == refuser.WrongWeights) {
				refusal = cause.WithRetryAt(refusal.RetryAt)
			}
			return refusal.WithVerdict(max(ran, refusal.Ran))
		}
		r.recordPlaced(e)
		failure := r.runAttempt(ctx, e)
		r.endPlace(e, failedOutcome(failure))
		if failure == nil {
			return nil
		}
		if failure == budgetRefusal {
			return cause.WithVerdict(ran)
		}
		cause = failure
		ran = max(ran, cause.Ran)
		if cause.Ran != judge.NotRun {
			e.runs++
		} else {
			r.returnQuota(e)
		}
		if !r.reserveRetry(ctx, e) {
			return cause.WithVerdict(ran)
		}
		e.tried = append(e.tried, e.endpoint)
		r.logFailedAttempt(e, cause)
	}
}

// prepareAttempt checks that the request may still be sent and chooses the
// endpoint of the next attempt, anew whenever the configuration moves the request.
func (r *Relayer) prepareAttempt(ctx context.Context, e *exchange, ran judge.Verdict) *refuser.Refusal {
	for {
		if refusal := r.prepareInPool(ctx, e, ran); refusal != movedRefusal {
			return refusal
		}
	}
}

// prepareInPool checks the request and chooses the endpoint in the pool to which its route
// leads now. It returns movedRefusal if that changes while the request waits.
func (r *Relayer) prepareInPool(ctx context.Context, e *exchange, ran judge.Verdict) *refuser.Refusal {
	now := r.deps.Now()
	if ctx.Err() != nil {
		return endedRefusal(ctx, ran)
	}
	if refusal := r.admit(e); refusal != nil {
		return refusal
	}
	if !now.Add(answerMargin).Before(e.deadline) {
		return refuser.New(refuser.Timeout, ran, "no time is left")
	}
	if refusal := r.followRoute(e); refusal != nil {
		return refusal
	}
	suspect, known := r.deps.Quarantine.Find(e.request.Fingerprint, now)
	if known && suspect.Refused() {
		return refuser.New(refuser.Quarantined, judge.NotRun, "the request crashed %d endpoints", len(suspect.Losses)).WithRetryAt(suspect.Until)
	}
	if refusal := r.refuseAboveQuota(e, now); refusal != nil {
		return refusal
	}
	if refusal := r.waitForPlace(ctx, e); refusal != nil {
		return refusal
	}
	if refusal := r.takeQuota(ctx, e); refusal != nil {
		e.endTurn()
		return refusal
	}
	return nil
}

// endToEndFields returns the header fields of an endpoint's answer without the
// hop-by-hop fields.
func endToEndFields(head *framer.Head) []framer.Field {
	fields := make([]framer.Field, 0, len(head.Fields))
	for _, field := range head.Fields {
		if !head.IsHopByHop(field.Name) {
			fields = append(fields, field)
		}
	}
	return fields
}
