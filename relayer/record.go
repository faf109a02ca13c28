package relayer

import (
	"time"

	"go.uber.org/zap"

	"wisteriadrum/refuser"
)

// recordEnd counts and logs the end of a request.
func (r *Relayer) recordEnd(e *exchange, refusal *refuser.Refusal) {
	elapsed := r.deps.Now().Sub(e.request.ReceivedAt)
	r.deps.Count.Observe("answer.millis", elapsed.Milliseconds())
	if refusal != nil {
		r.deps.Count.Add("refusal", string(refusal.Code))
		fields := append(r.logFields(e, elapsed), outcomeFields(refusal)...)
		r.deps.Log.Warn("request ended", append(fields, e.loss.fields()...)...)
		return
	}
	if e.request.Route.Stream {
		r.deps.Count.Add("answers", "streamed")
	} else {
		r.deps.Count.Add("answers", "whole")
	}
	if entry := r.deps.Log.Check(zap.InfoLevel, "request ended"); entry != nil {
		entry.Write(append(r.logFields(e, elapsed), zap.String("outcome", "answered"))...)
	}
}

// recordPlaced counts and logs the chosen endpoint before the request is sent, so
// that the choice can be explained even if this instance crashes during the request.
func (r *Relayer) recordPlaced(e *exchange) {
	if e.choice.Outdated {
		r.deps.Count.Add("placed", "outdated")
	}
	if entry := r.deps.Log.Check(zap.InfoLevel, "request placed"); entry != nil {
		entry.Write(r.logFields(e, r.deps.Now().Sub(e.request.ReceivedAt))...)
	}
}

// logFailedAttempt counts and logs a failed attempt after which the request is
// retried.
func (r *Relayer) logFailedAttempt(e *exchange, cause *refuser.Refusal) {
	r.deps.Count.Add("retry", string(cause.Code))
	fields := append(r.logFields(e, r.deps.Now().Sub(e.request.ReceivedAt)), outcomeFields(cause)...)
	r.deps.Log.Warn("attempt failed; the request goes on", append(fields, e.loss.fields()...)...)
}

// outcomeFields returns the log fields of a refusal.
func outcomeFields(refusal *refuser.Refusal) []zap.Field {
	return []zap.Field{zap.String("outcome", string(refusal.Code)), zap.String("reason", refusal.Reason), zap.Stringer("verdict", refusal.Ran)}
}

// logFields returns the inputs of the routing decision as log fields, with the
// version or age of each.
func (r *Relayer) logFields(e *exchange, elapsed time.Duration) []zap.Field {
	now := r.deps.Now()
	fields := []zap.Field{
		zap.String("request", e.request.ID), zap.String("route", e.request.Route.Name), zap.String("workspace", e.request.Workspace.Name),
		zap.Int64("configuration", e.request.ConfigVersion), zap.Int("sends", e.sends), zap.Int("runs", e.runs),
		zap.Int64("millis", elapsed.Milliseconds()), zap.Int64("waited", e.waited.Milliseconds()), zap.Int64("left", e.deadline.Sub(now).Milliseconds()),
	}
	if e.endpoint == nil {
		return fields
	}
	view := e.endpoint.View(e.request.Model, now)
	fields = append(fields, zap.String("endpoint", view.Entry.Name), zap.Int("predicted", int(e.choice.PredictedMillis)), zap.Int("first", e.firstMillis),
		zap.Int("load", view.Load.Requests), zap.Int64("silent", view.SilentFor.Milliseconds()))
	if e.request.Model == "" {
		return fields
	}
	fields = append(fields, zap.Int("weights", view.Weights), zap.Int("newest", r.deps.Registrar.Versions(e.request.Model).Newest()), zap.Bool("outdated", e.choice.Outdated),
		zap.Int("prompt", e.request.PromptTokens), zap.Int("unread", e.choice.PrefillTokens), zap.Int("memory", view.Load.KVTokens), zap.Int("queued", view.Load.PrefillTokens), zap.Int("asks", e.roomAsks), zap.Int("claims", e.claims))
	if e.source != nil {
		fields = append(fields, zap.String("source", e.source.Entry().Name))
	}
	return fields
}
