// Package translator defines the interface between the data path and a wire
// protocol.
package translator

import (
	"time"

	"wisteriadrum/framer"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
)

// SendOptions are the parameters with which a request is sent to one endpoint.
type SendOptions struct {
	// Endpoint is the name of the endpoint that must run the request; any other
	// must refuse it.
	Endpoint string
	// Deadline is when the endpoint must stop.
	Deadline time.Time
	// Weights is the version of the weights that the request must run on, 0 for
	// any.
	Weights int
	// Salt separates cached parts that must not be shared.
	Salt string
	// Fetch is the address of the source to fetch cached parts from, or "".
	Fetch string
	// Save is the address of the store to save cached parts to, or "".
	Save string
	// LastEventID is the ID of the last event that the caller received, or "".
	LastEventID string
}

// Answer is the information in the head of an endpoint's answer.
type Answer struct {
	// RequestID identifies the answered request, "" if unknown.
	RequestID string
	// NotRun reports that the endpoint did not run the request.
	NotRun bool
	// WrongTarget reports that the request reached another endpoint than the
	// intended one, or that the endpoint serves another version of the weights.
	WrongTarget bool
	// Endpoint is the name of the endpoint that answered, "" if unknown.
	Endpoint string
	// Sealed reports that the answer carries the header by which endpoints mark
	// their own answers.
	Sealed bool
	// Leaving reports that the endpoint is about to leave.
	Leaving bool
	// Limited reports that the endpoint takes only LimitPerSecond requests a second from
	// all instances.
	Limited        bool
	LimitPerSecond float64
	// WaitMillis is how long the endpoint, which refused the request, wants no other
	// from this instance, 0 if it did not say so.
	WaitMillis int
	// Weights is the version that ran, 0 if unknown.
	Weights int
	// KeepAliveSeconds is how long the endpoint keeps an idle connection open,
	// 0 if unknown.
	KeepAliveSeconds int
}

// Translator translates between HTTP messages and the types of the data path.
type Translator interface {
	// DecodeRequest returns the request with the given head. The error is a
	// *refuser.Refusal.
	DecodeRequest(head *framer.Head, receivedAt time.Time) (*requester.Request, error)
	// EncodeRequest appends the head of the request as it is sent to an
	// endpoint.
	EncodeRequest(buffer []byte, request *requester.Request, options SendOptions, now time.Time) []byte
	// DecodeAnswer reads the head of an endpoint's answer.
	DecodeAnswer(head *framer.Head) Answer
	// EncodeRefusal returns the status and the header fields of a refusal.
	EncodeRefusal(id string, refusal *refuser.Refusal, now time.Time) (int, []framer.Field)
}
