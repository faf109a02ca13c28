// Package configurer decodes and validates the settings of one instance.
package configurer

import (
	"encoding/hex"
	"net/netip"

	"wisteriadrum/decoder"
	"wisteriadrum/namer"
	"wisteriadrum/securer"
)

const (
	defaultMaxBodyBytes        = 4 << 20
	defaultMaxHeaderBytes      = 16 << 10
	defaultMaxInFlight         = 2000
	defaultHomeThreshold       = 17 // instances
	defaultGraceMillis         = 10 * 60 * 1000
	defaultCacheMapBytes       = 32 << 20
	defaultMaxReceivedBytes    = 256 << 20
	defaultEventBytesPerSecond = 16 << 10 // bytes a second
)

// Settings are the start-up settings of one instance.
type Settings struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, OperatorAddress and PeerAddress are the addresses to listen
	// on.
	CallerAddress   string `json:"caller"`
	OperatorAddress string `json:"operator"`
	PeerAddress     string `json:"peer"`
	// TableAddress, ObjectStoreAddress and InstanceListAddress are the addresses of
	// the platform's services.
	TableAddress        string `json:"table"`
	ObjectStoreAddress  string `json:"objects"`
	InstanceListAddress string `json:"list"`
	// SeedPeers are peer addresses of other instances that are contacted at start.
	SeedPeers []string `json:"peers,omitempty"`
	// FirstStart means that all instances start for the first time, so that no earlier
	// process of this one has sent retries.
	FirstStart bool `json:"first,omitempty"`
	// OperatorKeyHash is the SHA-256 of the operator key in hexadecimal.
	OperatorKeyHash string `json:"key,omitempty"`
	// CallerTLS, OperatorTLS and PeerTLS are the TLS files of the listeners.
	// PeerTLS also applies to outgoing connections between instances.
	CallerTLS   securer.Files `json:"caller_tls,omitzero"`
	OperatorTLS securer.Files `json:"operator_tls,omitzero"`
	PeerTLS     securer.Files `json:"peer_tls,omitzero"`
	// MaxBodyBytes and MaxHeaderBytes limit the size of a request.
	MaxBodyBytes   int `json:"body,omitempty"`
	MaxHeaderBytes int `json:"header,omitempty"`
	// MaxInFlight limits the requests in flight of this instance.
	MaxInFlight int `json:"flight,omitempty"`
	// CacheMapBytes limits the memory of the cache map.
	CacheMapBytes int `json:"map,omitempty"`
	// MaxReceivedBytes limits the memory of the answers that are being received from
	// endpoints and the platform.
	MaxReceivedBytes int `json:"received,omitempty"`
	// EventBytesPerSecond limits the rate at which cache events are read.
	EventBytesPerSecond int `json:"events,omitempty"`
	// HomeThreshold is the number of live instances in the region at which
	// instances begin to ask the home instance of a prefix to choose endpoints.
	HomeThreshold int `json:"homes,omitempty"`
	// GraceMillis is the time between the stop signal and the end of the instance.
	GraceMillis int `json:"grace,omitempty"`
}

// New decodes settings from JSON with comments and validates them. The error lists
// every fault.
func New(source []byte) (*Settings, error) {
	settings := &Settings{}
	if err := decoder.Decode(source, settings); err != nil {
		return nil, err
	}
	return settings.WithDefaults(), nil
}

// WithDefaults returns a copy of s in which limits of zero are replaced by their
// defaults.
func (s *Settings) WithDefaults() *Settings {
	next := *s
	next.MaxBodyBytes = orDefault(s.MaxBodyBytes, defaultMaxBodyBytes)
	next.MaxHeaderBytes = orDefault(s.MaxHeaderBytes, defaultMaxHeaderBytes)
	next.MaxInFlight = orDefault(s.MaxInFlight, defaultMaxInFlight)
	next.CacheMapBytes = orDefault(s.CacheMapBytes, defaultCacheMapBytes)
	next.MaxReceivedBytes = orDefault(s.MaxReceivedBytes, defaultMaxReceivedBytes)
	next.HomeThreshold = orDefault(s.HomeThreshold, defaultHomeThreshold)
	next.GraceMillis = orDefault(s.GraceMillis, defaultGraceMillis)
	next.EventBytesPerSecond = orDefault(s.EventBytesPerSecond, defaultEventBytesPerSecond)
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
	s.checkSecurity(report)
}

// checkSecurity reports listeners that need a key or TLS because they are not on
// a loopback address.
func (s *Settings) checkSecurity(report func(path, text string)) {
	if s.OperatorKeyHash == "" && !isLoopback(s.OperatorAddress) {
		report("key", "is required unless operator is a loopback address")
	}
	if digest, err := hex.DecodeString(s.OperatorKeyHash); s.OperatorKeyHash != "" && (err != nil || len(digest) != 32) {
		report("key", "must be a SHA-256 in hexadecimal")
	}
	if !s.PeerTLS.Set() && !isLoopback(s.PeerAddress) {
		report("peer_tls", "is required unless peer is a loopback address")
	}
	if s.PeerTLS.Set() && s.PeerTLS.Authority == "" {
		report("peer_tls", "needs an authority, by which instances know one another")
	}
	if s.MaxBodyBytes < 0 || s.MaxHeaderBytes < 0 || s.MaxInFlight < 0 || s.CacheMapBytes < 0 || s.MaxReceivedBytes < 0 || s.EventBytesPerSecond < 0 || s.HomeThreshold < 0 || s.GraceMillis < 0 {
		report("body", "body, header, flight, map, received, events, homes and grace must not be negative")
	}
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
