package follower_test

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/cataloguer"
	"wisteriadrum/counter"
	"wisteriadrum/follower"
	"wisteriadrum/keeper"
)

// Guards against replacing the configuration in force by an older, a corrupt or
// an invalid one, which may arrive late or damaged from another instance.
func TestNumbersNeverGoBack(t *testing.T) {
	board := keeper.New()
	f := follower.New(board, "me", "a", nil, nil, nil, counter.New(metrics.NewRegistry()), zap.NewNop())
	adopt := func(number uint64, dataCentre string) error {
		source := fmt.Appendf(nil, `{"data_centres":[{"name":%q}]}`, dataCentre)
		return f.Adopt(number, cataloguer.Digest(source), source)
	}
	assert.NilError(t, adopt(3, "three"))
	assert.NilError(t, adopt(2, "two"))
	assert.Equal(t, board.Index.Load().Number, uint64(3))
	assert.NilError(t, adopt(3, "other"))
	assert.Equal(t, board.Index.Load().Config.DataCentres[0].Name, "three")
	assert.ErrorContains(t, f.Adopt(4, "digest", []byte(`{}`)), "digest")
	assert.ErrorContains(t, adopt(5, "UPPER"), "must be")
	assert.Equal(t, board.Index.Load().Number, uint64(3))
}
