// Package reporter defines the load report of an endpoint. Reports lag behind the
// actual load.
package reporter

// Report is a load report of an endpoint.
type Report struct {
	// Incarnation identifies the process of the endpoint. It changes with a restart.
	Incarnation string `json:"incarnation"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Queue is the number of prompt bytes waiting to be computed.
	Queue int `json:"queue"`
	// Weights is the loaded version of the weights.
	Weights string `json:"weights,omitempty"`
	// Leaving means that the endpoint accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Loading means that the engine is loading weights and accepts no new requests.
	Loading bool `json:"loading,omitempty"`
	// Evicted is the age in milliseconds of the last evicted cache block, or 0.
	Evicted int `json:"evicted,omitempty"`
	// Sequence is the number of the newest cache event.
	Sequence uint64 `json:"sequence,omitempty"`
	// Fence is the highest fencing token that the endpoint has accepted.
	Fence uint64 `json:"fence,omitempty"`
}
