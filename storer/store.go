// Package storer accesses the platform's object store.
package storer

import (
	"context"
	"net/url"

	"wisteriadrum/fetcher"
)

// Store is the platform's object store. An object's name is derived from its
// content, so that writing an object again has no effect.
type Store interface {
	// Get returns the object named name. The error wraps fetcher.ErrNotFound if
	// it does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object named name.
	Put(ctx context.Context, name string, body []byte) error
}

type httpStore struct {
	fetcher *fetcher.Fetcher
}

// New returns an object store that is accessed over HTTP with fetch.
func New(fetch *fetcher.Fetcher) Store {
	return &httpStore{fetcher: fetch}
}

func (c *httpStore) Get(ctx context.Context, name string) ([]byte, error) {
	return c.fetcher.Do(ctx, "GET", objectPath(name), nil)
}

func (c *httpStore) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.fetcher.Do(ctx, "PUT", objectPath(name), body)
	return err
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }
