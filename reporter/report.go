// Package reporter holds what an endpoint says of its load, which lags.
package reporter

// Report is one load report of an endpoint.
type Report struct {
	Incarnation string `json:"incarnation"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Queue is the number of prompt bytes waiting to be computed.
	Queue int `json:"queue"`
	// Weights is the version loaded.
	Weights string `json:"weights,omitempty"`
	// Leaving means that the endpoint takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Loading means that the engine loads weights and takes no new work.
	Loading bool `json:"loading,omitempty"`
	// Evicted is the age in milliseconds of the block evicted last, or 0.
	Evicted int `json:"evicted,omitempty"`
	// Sequence is the number of the newest cache event.
	Sequence uint64 `json:"sequence,omitempty"`
	// Fence is the highest fencing number obeyed.
	Fence uint64 `json:"fence,omitempty"`
}
