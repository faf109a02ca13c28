package emulator

import (
	"context"

	"wisteriadrum/tabler"
)

type table struct{ platform *Platform }

// Table returns a client of the platform's table that calls it directly instead
// of over the network.
func (p *Platform) Table() tabler.Table { return table{platform: p} }

func (t table) Get(_ context.Context, keys ...string) ([]tabler.Row, error) {
	return t.platform.Read(keys...), nil
}

func (t table) Apply(_ context.Context, writes []tabler.Write) ([]tabler.Row, error) {
	return t.platform.Transact(writes), nil
}
