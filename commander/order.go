// Package commander describes orders to engines.
package commander

// Order says which weights an engine is to hold. It describes a state, so that
// obeying it twice changes nothing.
type Order struct {
	// Fence orders the holders of the lease; engines that check it refuse an
	// order with a lower one than they have seen.
	Fence uint64 `json:"fence"`
	// Weights is the version to load.
	Weights string `json:"weights"`
}
