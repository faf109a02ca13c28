// Package translator is the port between the data path and a wire protocol.
package translator

import (
	"time"

	"wisteriadrum/framer"
	"wisteriadrum/refuser"
	"wisteriadrum/requester"
)

// SendOptions says how a request goes to one endpoint.
type SendOptions struct {
	// Endpoint is the only one that may take the request.
	Endpoint string
	// Deadline is when the endpoint must stop.
	Deadline time.Time
	// Weights is the only version on which the request may run, 0 for any.
	Weights int
	// Salt separates cached parts that must not be shared.
	Salt string
	// Fetch is the address from which cached parts are fetched, or "".
	Fetch string
	// Save is the address of the store to which parts are sent, or "".
	Save string
	// LastEventID is the last event that the caller has, or "".
	LastEventID string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// RequestID names the request that is answered, "" if the answer does not say.
	RequestID string
	// NotRun is the endpoint's word that the request did not run.
	NotRun bool
	// WrongTarget reports that the endpoint is not the one that was meant, or has
	// other weights.
	WrongTarget bool
	// Endpoint is the name of the endpoint that answered, "" if unknown.
	Endpoint string
	// Sealed reports that the answer carries the endpoint's own mark.
	Sealed bool
	// Weights is the version that ran, 0 if unknown.
	Weights int
	// KeepAliveSeconds is how long the endpoint keeps the connection, in seconds, 0 if unknown.
	KeepAliveSeconds int
}

// Translator translates between messages and the data path's own types.
type Translator interface {
	// DecodeRequest fills a request from its head; the error is a refusal.
	DecodeRequest(head *framer.Head, at time.Time) (*requester.Request, error)
	// EncodeRequest appends the head that goes to an endpoint.
	EncodeRequest(buffer []byte, request *requester.Request, send SendOptions, now time.Time) []byte
	// DecodeAnswer reads the head of an endpoint's answer.
	DecodeAnswer(head *framer.Head) Answer
	// EncodeRefusal returns the status and the header fields of a refusal.
	EncodeRefusal(id string, refusal *refuser.Refusal, now time.Time) (int, []framer.Field)
}
