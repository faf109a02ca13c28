// Package commander defines the orders that instances send to engines.
package commander

// Order names the version of the weights that an engine should have loaded. It is
// idempotent, because it names the desired state.
type Order struct {
	// Fence is the fencing token of the lease. Engines that check it refuse an
	// order with a lower token than the highest they have received.
	Fence uint64 `json:"fence"`
	// Weights is the version to load.
	Weights string `json:"weights"`
}
