// Package host describes the data centres that hold instances and endpoints.
package host

import "wisteriadrum/namer"

// DataCentre is one site. Region groups sites about a millisecond apart.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Check reports each fault of d.
func (d *DataCentre) Check(report func(path, text string)) {
	if !namer.Valid(d.Name) {
		report("name", namer.Rule)
	}
}
