// Package configurer reads the settings of one instance.
package configurer

import (
	"encoding/hex"
	"net/netip"

	"wisteriadrum/decoder"
	"wisteriadrum/namer"
	"wisteriadrum/securer"
)

const (
	defaultBody   = 4 << 20 // bytes
	defaultHeader = 16 << 10
	defaultFlight = 2000
	defaultHomes  = 17       // instances
	defaultMap    = 32 << 20 // bytes
	defaultEvents = 16 << 10 // bytes a second
)

// Settings is everything that one instance is told at its start.
type Settings struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Caller, Operator and Peer are the addresses to listen on.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	// Table, Objects and List are the addresses of the platform's services.
	Table   string `json:"table"`
	Objects string `json:"objects"`
	List    string `json:"list"`
	// Peers are peer addresses of other instances to begin with.
	Peers []string `json:"peers,omitempty"`
	// Key is the SHA-256 of the operator key in hexadecimal.
	Key string `json:"key,omitempty"`
	// TLS of the listener for callers, for operators and between instances.
	CallerTLS   securer.Files `json:"caller_tls,omitzero"`
	OperatorTLS securer.Files `json:"operator_tls,omitzero"`
	PeerTLS     securer.Files `json:"peer_tls,omitzero"`
	// Body and Header limit a request, in bytes.
	Body   int `json:"body,omitempty"`
	Header int `json:"header,omitempty"`
	// Flight limits the requests in flight.
	Flight int `json:"flight,omitempty"`
	// Map is the memory for the cache map, in bytes.
	Map int `json:"map,omitempty"`
	// Events is the budget for reading cache events, in bytes a second.
	Events int `json:"events,omitempty"`
	// Homes is the number of live instances in the region from which on the
	// home instance of a prefix is asked for choices.
	Homes int `json:"homes,omitempty"`
}

// New reads settings from JSON with comments. The error lists every fault.
func New(source []byte) (*Settings, error) {
	settings := &Settings{}
	if err := decoder.Decode(source, settings); err != nil {
		return nil, err
	}
	return settings.WithDefaults(), nil
}

// WithDefaults returns a copy of s in which no limit is zero.
func (s *Settings) WithDefaults() *Settings {
	next := *s
	next.Body = orDefault(s.Body, defaultBody)
	next.Header = orDefault(s.Header, defaultHeader)
	next.Flight = orDefault(s.Flight, defaultFlight)
	next.Map = orDefault(s.Map, defaultMap)
	next.Homes = orDefault(s.Homes, defaultHomes)
	next.Events = orDefault(s.Events, defaultEvents)
	return &next
}

// Check reports each fault of s.
func (s *Settings) Check(report func(path, text string)) {
	if !namer.Valid(s.Name) {
		report("name", namer.Rule)
	}
	if !namer.Valid(s.DataCentre) {
		report("data_centre", namer.Rule)
	}
	addresses := []struct{ field, value string }{
		{"caller", s.Caller},
		{"operator", s.Operator},
		{"peer", s.Peer},
		{"table", s.Table},
		{"objects", s.Objects},
		{"list", s.List},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			report(address.field, "must be an IP address and port")
		}
	}
	for _, peer := range s.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			report("peers", "must be IP addresses and ports")
		}
	}
	s.checkSafety(report)
}

func (s *Settings) checkSafety(report func(path, text string)) {
	if s.Key == "" && !loopback(s.Operator) {
		report("key", "is required unless operator is a loopback address")
	}
	if digest, err := hex.DecodeString(s.Key); s.Key != "" && (err != nil || len(digest) != 32) {
		report("key", "must be a SHA-256 in hexadecimal")
	}
	if !s.PeerTLS.Set() && !loopback(s.Peer) {
		report("peer_tls", "is required unless peer is a loopback address")
	}
	if s.PeerTLS.Set() && s.PeerTLS.Authority == "" {
		report("peer_tls", "needs an authority, by which instances know one another")
	}
	if s.Body < 0 || s.Header < 0 || s.Flight < 0 || s.Map < 0 || s.Events < 0 || s.Homes < 0 {
		report("body", "body, header, flight, map, events and homes must not be negative")
	}
}

func loopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
