// Package messenger describes what instances tell one another.
package messenger

import (
	"time"

	"wisteriadrum/quarantiner"
	"wisteriadrum/stopper"
)

// Member is one instance as it is known. Beat grows while it lives.
type Member struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Peer       string `json:"peer"`
	// Boot is when the instance started; a later start replaces an earlier.
	Boot time.Time `json:"boot"`
	Beat uint64    `json:"beat"`
	// Number is the configuration in force there.
	Number uint64 `json:"number"`
	// Leaving means that the instance takes no new requests.
	Leaving bool `json:"leaving"`
}

// Digest is one half of an exchange between two instances.
type Digest struct {
	From Member
	// Members describes a few other instances in full.
	Members []Member
	// Beats are signs of life of many others, in the form of package packer.
	Beats []byte
	// Set is the digest of the configuration From.Number.
	Set string
	// StopsHash and Stops carry the planned stops. Stops is empty when the
	// other side is known to have them.
	StopsHash uint64
	Stops     []stopper.Stop
	Cases     []quarantiner.Case
	// Loads are packed load reports for the endpoints of configuration
	// From.Number, in the form of package packer.
	Loads []byte
}
