// Package messenger defines the messages that instances exchange.
package messenger

import (
	"time"

	"wisteriadrum/quarantiner"
	"wisteriadrum/stopper"
)

// Member is the state of one instance. Beat is its heartbeat counter.
type Member struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Peer       string `json:"peer"`
	// Boot is when the instance started. A later start replaces an earlier one
	// of the same name.
	Boot time.Time `json:"boot"`
	Beat uint64    `json:"beat"`
	// Number is the number of the configuration in force at the instance.
	Number uint64 `json:"number"`
	// Leaving means that the instance drains and takes no new requests.
	Leaving bool `json:"leaving"`
}

// Digest is the state that one instance sends to another in an exchange.
type Digest struct {
	From Member
	// Members describes a few other instances in full.
	Members []Member
	// Beats are heartbeats of many other instances, encoded by package packer.
	Beats []byte
	// Set is the digest of the configuration From.Number.
	Set string
	// Stops are the planned stops.
	Stops []stopper.Stop
	Cases []quarantiner.Case
	// Loads are load reports for the endpoints of configuration From.Number,
	// encoded by package packer.
	Loads []byte
}
