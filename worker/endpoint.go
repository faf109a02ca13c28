// Package worker defines the endpoints that serve requests.
package worker

import (
	"net/netip"

	"wisteriadrum/namer"
)

// Endpoint is one engine or service process.
type Endpoint struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	// Address is an IP address and port.
	Address string `json:"address"`
}

// Check reports each fault of e.
func (e *Endpoint) Check(report func(path, text string)) {
	if !namer.Valid(e.Name) {
		report("name", namer.Rule)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		report("address", "must be an IP address and port")
	}
}
