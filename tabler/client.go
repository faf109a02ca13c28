package tabler

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"wisteriadrum/fetcher"
)

type httpTable struct {
	fetcher *fetcher.Fetcher
}

// New returns a table that is accessed in JSON over HTTP with fetch.
func New(fetch *fetcher.Fetcher) Table {
	return &httpTable{fetcher: fetch}
}

func (c *httpTable) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var rows []Row
	if err := c.call(ctx, "/v1/table/read", keys, &rows); err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, eris.Errorf("table service returned %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

func (c *httpTable) Apply(ctx context.Context, writes []Write) ([]Row, error) {
	var conflicts []Row
	err := c.call(ctx, "/v1/table/transact", writes, &conflicts)
	return conflicts, err
}

func (c *httpTable) call(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode table request")
	}
	reply, err := c.fetcher.Do(ctx, "POST", path, body)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(reply, answer), "decode table answer")
}
