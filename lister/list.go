// Package lister reads the platform's list of live and leaving instances.
package lister

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"wisteriadrum/fetcher"
)

// State says whether a listed process stays.
type State string

const (
	// Live processes stay.
	Live State = "live"
	// Leaving processes get no new work.
	Leaving State = "leaving"
)

// Entry is one listed process: an instance of the system or an endpoint.
// Peer is the address of an instance's peer listener, empty for endpoints.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Peer       string `json:"peer,omitempty"`
	State      State  `json:"state"`
}

// List is the platform's list, which lags behind the truth.
type List interface {
	// Entries returns all listed processes.
	Entries(ctx context.Context) ([]Entry, error)
}

type client struct {
	fetcher *fetcher.Fetcher
}

// New returns the list behind fetch.
func New(fetch *fetcher.Fetcher) List {
	return &client{fetcher: fetch}
}

func (c *client) Entries(ctx context.Context) ([]Entry, error) {
	body, err := c.fetcher.Do(ctx, "GET", "/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	err = json.Unmarshal(body, &entries)
	return entries, eris.Wrap(err, "decode instance list")
}
