// Package storer reads and writes the platform's object store.
package storer

import (
	"context"
	"net/url"

	"wisteriadrum/fetcher"
)

// Store is the platform's object store. Objects are named by their content
// and never change, so that writing one again is harmless.
type Store interface {
	// Get returns the object named name, or fetcher.ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object named name.
	Put(ctx context.Context, name string, body []byte) error
}

type client struct {
	fetcher *fetcher.Fetcher
}

// New returns the object store behind fetch.
func New(fetch *fetcher.Fetcher) Store {
	return &client{fetcher: fetch}
}

func (c *client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.fetcher.Do(ctx, "GET", path(name), nil)
}

func (c *client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.fetcher.Do(ctx, "PUT", path(name), body)
	return err
}

func path(name string) string { return "/v1/objects/" + url.PathEscape(name) }
