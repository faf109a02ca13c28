package relayer

import (
	"time"

	"go.uber.org/zap"

	"wisteriadrum/refuser"
)

// record counts and logs how a request ended.
func (r *Relayer) record(c *course, refusal *refuser.Refusal) {
	took := r.ports.Now().Sub(c.request.ReceivedAt)
	r.ports.Count.Observe("answer.millis", took.Milliseconds())
	if refusal != nil {
		r.ports.Count.Add("refusal", string(refusal.Code))
		r.ports.Log.Warn("request ended", append(r.inputs(c, took), outcome(refusal)...)...)
		return
	}
	if c.request.Route.Stream {
		r.ports.Count.Add("answers", "streamed")
	} else {
		r.ports.Count.Add("answers", "whole")
	}
	if entry := r.ports.Log.Check(zap.InfoLevel, "request ended"); entry != nil {
		entry.Write(append(r.inputs(c, took), zap.String("outcome", "answered"))...)
	}
}

// placed logs where a request goes, so that it can be explained even if its
// instance does not live to see its end.
func (r *Relayer) placed(c *course) {
	if entry := r.ports.Log.Check(zap.InfoLevel, "request placed"); entry != nil {
		entry.Write(r.inputs(c, r.ports.Now().Sub(c.request.ReceivedAt))...)
	}
}

// failed logs an attempt after which the request goes on.
func (r *Relayer) failed(c *course, cause *refuser.Refusal) {
	r.ports.Count.Add("retry", string(cause.Code))
	fields := append(r.inputs(c, r.ports.Now().Sub(c.request.ReceivedAt)), outcome(cause)...)
	r.ports.Log.Warn("attempt failed; the request goes on", fields...)
}

func outcome(refusal *refuser.Refusal) []zap.Field {
	return []zap.Field{zap.String("outcome", string(refusal.Code)), zap.String("reason", refusal.Reason), zap.Stringer("verdict", refusal.Ran)}
}

// inputs returns what decided about a request, with its version or age.
func (r *Relayer) inputs(c *course, took time.Duration) []zap.Field {
	now := r.ports.Now()
	fields := []zap.Field{
		zap.String("request", c.request.ID), zap.String("route", c.request.Route.Name), zap.String("workspace", c.request.Workspace.Name),
		zap.Int64("configuration", c.request.ConfigVersion), zap.Int("sends", c.sends), zap.Int("runs", c.runs),
		zap.Int64("millis", took.Milliseconds()), zap.Int64("waited", c.waited.Milliseconds()), zap.Int64("left", c.ends.Sub(now).Milliseconds()),
	}
	if c.place == nil {
		return fields
	}
	view := c.place.View(c.request.Model, now)
	fields = append(fields, zap.String("endpoint", view.Entry.Name), zap.Int("predicted", int(c.choice.PredictedMillis)), zap.Int("first", c.first),
		zap.Int("load", view.Load.Requests), zap.Int64("silent", view.SilentFor.Milliseconds()))
	if c.request.Model == "" {
		return fields
	}
	fields = append(fields, zap.Int("weights", view.Weights), zap.Int("newest", r.ports.Registrar.Versions(c.request.Model).Newest()),
		zap.Int("prompt", c.request.PromptTokens), zap.Int("unread", c.choice.PrefillTokens))
	if c.source != nil {
		fields = append(fields, zap.String("source", c.source.Entry().Name))
	}
	return fields
}
