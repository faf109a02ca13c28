package prober

import "wisteriadrum/tracker"

// Probe probes one endpoint.
func (p *Prober) Probe(track *tracker.Track) { p.probe(track) }
