package relayer

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/framer"
	"wisteriadrum/locator"
	"wisteriadrum/placer"
	"wisteriadrum/requester"
	"wisteriadrum/responder"
	"wisteriadrum/router"
)

// Locate says where a request would be sent now, and why, as far as this instance knows. It
// sends nothing and asks no other instance, so it does not take permits, room or tokens.
func (r *Relayer) Locate(query locator.Query) (locator.Placement, error) {
	table := r.deps.Registrar.Table()
	if table == nil {
		return locator.Placement{}, eris.New("no configuration is known yet")
	}
	now := r.deps.Now()
	request := &requester.Request{
		Head: &framer.Head{Target: query.Path}, Host: query.Host, Path: query.Path, Key: keyOf(table, query.Workspace), ReceivedAt: now,
		Model: query.Model, PromptTokens: query.PromptTokens, OutputTokens: query.OutputTokens, Parts: query.Parts,
	}
	if refusal := Resolve(request, table); refusal != nil {
		return locator.Placement{Verdict: locator.Refused, Reason: refusal.Error()}, nil
	}
	e := &exchange{request: request, answer: responder.New(nil, nil, r.deps.Now, false)}
	found := locator.Placement{Route: request.Route.Name, Pool: request.Pool.Name, Verdict: locator.Sent}
	refusal := r.refuseAboveQuota(e, now)
	if refusal == nil {
		refusal = r.choose(e, false, now)
	}
	switch {
	case refusal != nil:
		found.Verdict, found.Reason = locator.Refused, refusal.Error()
	case e.choice.Held:
		found.Verdict, found.Reason = locator.Waits, "no endpoint may get a request now"
	case e.choice.Full:
		found.Verdict, found.Reason = locator.Waits, "no engine has room for the prompt"
	}
	if refusal == nil {
		found.Endpoint = e.endpoint.Entry().Name
	}
	if e.source != nil {
		found.Source = e.source.Entry().Name
	}
	found.Candidates = r.rank(e, now)
	return found, nil
}

// keyOf returns a key of a workspace, "" if it has none.
func keyOf(table *router.Table, workspace string) string {
	for key, owner := range table.Keys {
		if owner.Name == workspace {
			return key
		}
	}
	return ""
}

// rank returns the candidates for a request, the best first.
func (r *Relayer) rank(e *exchange, now time.Time) []locator.Candidate {
	seen := r.survey(e, false, now)
	var ranked []locator.Candidate
	for _, choice := range placer.Rank(seen.requirements, seen.candidates, seen.sources) {
		candidate := seen.candidates[choice.CandidateIndex]
		ranked = append(ranked, locator.Candidate{
			Endpoint: candidate.View.Entry.Name, DataCentre: candidate.View.Entry.DataCentre, PredictedMillis: choice.PredictedMillis, Cost: choice.Cost,
			CachedTokens: candidate.CachedTokens, Requests: candidate.View.Load.Requests, Notes: notes(choice, candidate, seen.requirements),
		})
	}
	return ranked
}

// notes returns what speaks against a candidate.
func notes(choice placer.Choice, candidate placer.Candidate, requirements placer.Requirements) []string {
	view := candidate.View
	var said []string
	for _, note := range []struct {
		text    string
		applies bool
	}{
		{"held", choice.Held},
		{"no room", choice.Full},
		{"loads weights", view.Loading},
		{"fails", view.InBackoff},
		{"leaves", view.Leaving},
		{"old weights", view.Weights < requirements.NewestVersion},
		{"has just started", choice.Paced},
		{"no place", choice.Closed},
		{"limits requests", view.Limited},
		{"other site", view.Entry.DataCentre != requirements.DataCentre},
	} {
		if note.applies {
			said = append(said, note.text)
		}
	}
	if view.SilentFor > time.Second {
		said = append(said, fmt.Sprintf("silent for %d ms", view.SilentFor.Milliseconds()))
	}
	return said
}
