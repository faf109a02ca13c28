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
	// CallerAddress, Operator and Peer are the addresses to listen on.
	CallerAddress   string `json:"caller"`
	OperatorAddress string `json:"operator"`
	PeerAddress     string `json:"peer"`
	// TableAddress, Objects and List are the addresses of the platform's services.
	TableAddress        string `json:"table"`
	ObjectStoreAddress  string `json:"objects"`
	InstanceListAddress string `json:"list"`
	// SeedPeers are peer addresses of other instances to begin with.
	SeedPeers []string `json:"peers,omitempty"`
	// OperatorKeyHash is the SHA-256 of the operator key in hexadecimal.
	OperatorKeyHash string `json:"key,omitempty"`
	// TLS of the listener for callers, for operators and between instances.
	CallerTLS   securer.Files `json:"caller_tls,omitzero"`
	OperatorTLS securer.Files `json:"operator_tls,omitzero"`
	PeerTLS     securer.Files `json:"peer_tls,omitzero"`
	// MaxBodyBytes and Header limit a request, in bytes.
	MaxBodyBytes   int `json:"body,omitempty"`
	MaxHeaderBytes int `json:"header,omitempty"`
	// MaxInFlight limits the requests in flight.
	MaxInFlight int `json:"flight,omitempty"`
	// CacheMapBytes is the memory for the cache map, in bytes.
	CacheMapBytes int `json:"map,omitempty"`
	// EventBytesPerSecond is the budget for reading cache events, in bytes a second.
	EventBytesPerSecond int `json:"events,omitempty"`
	// HomeThreshold is the number of live instances in the region from which on the
	// home instance of a prefix is asked for choices.
	HomeThreshold int `json:"homes,omitempty"`
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
	next.MaxBodyBytes = orDefault(s.MaxBodyBytes, defaultBody)
	next.MaxHeaderBytes = orDefault(s.MaxHeaderBytes, defaultHeader)
	next.MaxInFlight = orDefault(s.MaxInFlight, defaultFlight)
	next.CacheMapBytes = orDefault(s.CacheMapBytes, defaultMap)
	next.HomeThreshold = orDefault(s.HomeThreshold, defaultHomes)
	next.EventBytesPerSecond = orDefault(s.EventBytesPerSecond, defaultEvents)
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
		{"caller", s.CallerAddress},
		{"operator", s.OperatorAddress},
		{"peer", s.PeerAddress},
		{"table", s.TableAddress},
		{"objects", s.ObjectStoreAddress},
		{"list", s.InstanceListAddress},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			report(address.field, "must be an IP address and port")
		}
	}
	for _, peer := range s.SeedPeers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			report("peers", "must be IP addresses and ports")
		}
	}
	s.checkSafety(report)
}

func (s *Settings) checkSafety(report func(path, text string)) {
	if s.OperatorKeyHash == "" && !loopback(s.OperatorAddress) {
		report("key", "is required unless operator is a loopback address")
	}
	if digest, err := hex.DecodeString(s.OperatorKeyHash); s.OperatorKeyHash != "" && (err != nil || len(digest) != 32) {
		report("key", "must be a SHA-256 in hexadecimal")
	}
	if !s.PeerTLS.Set() && !loopback(s.PeerAddress) {
		report("peer_tls", "is required unless peer is a loopback address")
	}
	if s.PeerTLS.Set() && s.PeerTLS.Authority == "" {
		report("peer_tls", "needs an authority, by which instances know one another")
	}
	if s.MaxBodyBytes < 0 || s.MaxHeaderBytes < 0 || s.MaxInFlight < 0 || s.CacheMapBytes < 0 || s.EventBytesPerSecond < 0 || s.HomeThreshold < 0 {
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
