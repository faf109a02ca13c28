// Package host defines the data centres in which instances and endpoints run.
package host

import "wisteriadrum/namer"

// DataCentre is one data centre. Region groups data centres that are about one
// millisecond apart.
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
