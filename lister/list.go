// Package lister reads the platform's list of instances and endpoints.
package lister

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"wisteriadrum/fetcher"
)

// State is the state of a listed process.
type State string

const (
	// Live processes get new work.
	Live State = "live"
	// Leaving processes get no new work.
	Leaving State = "leaving"
)

// Entry is one listed process, an instance or an endpoint. Peer is the address of
// an instance's peer listener, empty for endpoints.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Peer       string `json:"peer,omitempty"`
	State      State  `json:"state"`
}

// List is the platform's list, which may be out of date.
type List interface {
	// Entries returns all listed processes.
	Entries(ctx context.Context) ([]Entry, error)
}

type httpList struct {
	fetcher *fetcher.Fetcher
}

// New returns a list that is read over HTTP with fetch.
func New(fetch *fetcher.Fetcher) List {
	return &httpList{fetcher: fetch}
}

func (c *httpList) Entries(ctx context.Context) ([]Entry, error) {
	body, err := c.fetcher.Do(ctx, "GET", "/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	err = json.Unmarshal(body, &entries)
	return entries, eris.Wrap(err, "decode instance list")
}
