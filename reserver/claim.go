package reserver

import "time"

// claim is the place of a prompt in the queue.
type claim struct {
	id       uint64
	tokens   int
	priority int
	// arrivedAt is when the prompt came, claimedAt when it joined this queue.
	arrivedAt, claimedAt time.Time
	expiresAt            time.Time
	// firstAt is since when it is the first for which room is saved, zero before. stalled
	// means that none is saved any more.
	firstAt time.Time
	stalled bool
}

// End describes a claim that has ended.
type End struct {
	Tokens, Priority int
	// ClaimedAt is when the prompt began to wait, FirstAt since when it was first in the
	// queue, zero if it never was.
	ClaimedAt, FirstAt time.Time
	// Stalled reports that it found no room while it was first.
	Stalled bool
	// Granted reports that the prompt got room; otherwise its claim was not renewed.
	Granted bool
}

func newClaim(request Request, now time.Time) claim {
	arrivedAt := now.Add(-time.Duration(request.WaitedMillis) * time.Millisecond)
	return claim{id: request.ID, tokens: request.Tokens, priority: request.Priority, arrivedAt: arrivedAt, claimedAt: now, expiresAt: now.Add(claimLife)}
}

// before reports whether c goes before other: by rank, then by arrival.
func (c claim) before(other claim) bool {
	if c.priority != other.priority {
		return c.priority < other.priority
	}
	return c.arrivedAt.Before(other.arrivedAt)
}

// end returns the description of the claim after its end.
func (c claim) end(granted bool) End {
	return End{Tokens: c.tokens, Priority: c.priority, ClaimedAt: c.claimedAt, FirstAt: c.firstAt, Stalled: c.stalled, Granted: granted}
}
