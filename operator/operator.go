// Package operator implements the HTTP interface for operators and for the
// platform's health probes.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"wisteriadrum/decoder"
	"wisteriadrum/exposer"
	"wisteriadrum/follower"
	"wisteriadrum/messenger"
	"wisteriadrum/muter"
	"wisteriadrum/publisher"
	"wisteriadrum/reporter"
)

const callTimeout = 20 * time.Second

// Status is the state of an instance.
type Status struct {
	Instance   string             `json:"instance"`
	DataCentre string             `json:"data_centre"`
	Number     uint64             `json:"number"`
	Digest     string             `json:"digest"`
	Draining   bool               `json:"draining"`
	InFlight   int                `json:"flight"`
	Members    []messenger.Member `json:"members"`
	Endpoints  []Endpoint         `json:"endpoints"`
}

// Endpoint is the state of one endpoint as cached by an instance.
type Endpoint struct {
	Name      string          `json:"name"`
	Available bool            `json:"open"`
	InFlight  int             `json:"flight"`
	Report    reporter.Report `json:"report"`
}

// Instance is the part of an instance that the operator interface uses.
type Instance interface {
	// Ready reports whether new requests should be sent here.
	Ready() bool
	// Status returns the state of the instance.
	Status() Status
	// Publish publishes a configuration, as publisher.Publisher does.
	Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error)
	// WaitInForce waits for a limited time until the configuration number is in
	// force in all live instances. It returns the number of instances with that
	// or a newer configuration in force and the number of live instances.
	WaitInForce(ctx context.Context, number uint64) (int, int)
	// SetStop begins or ends a planned stop.
	SetStop(ctx context.Context, name string, active bool) error
}

// operator handles the requests of operators. Its key is the SHA-256 of the
// operator key, empty if none is required.
type operator struct {
	instance Instance
	registry metrics.Registry
	keyHash  []byte
}

// New returns a server for operators. The key hash is the SHA-256 of the operator
// key in hexadecimal; if it is empty, as allowed for a loopback listener, no key
// is required. Health, readiness and metrics never require a key.
func New(instance Instance, registry metrics.Registry, keyHash string) *fasthttp.Server {
	digest, _ := hex.DecodeString(keyHash) // Settings.Check has validated it
	o := &operator{instance: instance, registry: registry, keyHash: digest}
	return &fasthttp.Server{Handler: o.handle, NoDefaultServerHeader: true, Logger: muter.New()}
}

func (o *operator) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		o.serveReady(ctx)
	case "/metrics":
		exposer.New(o.registry).Handle(ctx)
	case "/metrics.json":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(o.registry, ctx)
	default:
		o.handleAuthorized(ctx)
	}
}

// handleAuthorized handles the requests that require the operator key.
func (o *operator) handleAuthorized(ctx *fasthttp.RequestCtx) {
	if !o.authorized(ctx) {
		writeError(ctx, fasthttp.StatusUnauthorized, "an operator key is required")
		return
	}
	method, path := string(ctx.Method()), string(ctx.Path())
	switch {
	case method == "GET" && path == "/status":
		writeJSON(ctx, o.instance.Status())
	case method == "POST" && path == "/publish":
		o.publish(ctx)
	case method == "POST" && (path == "/stop" || path == "/unstop"):
		o.setStop(ctx, path == "/stop")
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such operation")
	}
}

func (o *operator) authorized(ctx *fasthttp.RequestCtx) bool {
	if len(o.keyHash) == 0 {
		return true
	}
	key := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(digest[:], o.keyHash) == 1
}

func (o *operator) serveReady(ctx *fasthttp.RequestCtx) {
	if !o.instance.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// PublishReply is the reply to a publication. InForce of Instances live instances
// have the published or a newer configuration in force.
type PublishReply struct {
	Number    uint64 `json:"number"`
	Digest    string `json:"digest"`
	InForce   int    `json:"in_force"`
	Instances int    `json:"of"`
}

func (o *operator) publish(ctx *fasthttp.RequestCtx) {
	base, err := parseBase(ctx)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	head, err := o.instance.Publish(callCtx, ctx.PostBody(), base)
	var problems decoder.Problems
	var conflict *publisher.ConflictError
	switch {
	case err == nil:
		inForce, instances := o.instance.WaitInForce(callCtx, head.Number)
		writeJSON(ctx, PublishReply{Number: head.Number, Digest: head.Digest, InForce: inForce, Instances: instances})
	case errors.As(err, &problems):
		writeError(ctx, fasthttp.StatusUnprocessableEntity, problems.Error())
	case errors.As(err, &conflict):
		writeError(ctx, fasthttp.StatusConflict, conflict.Error())
	default:
		writeError(ctx, fasthttp.StatusServiceUnavailable, fmt.Sprintf("the set may or may not come into force: %s", err))
	}
}

func parseBase(ctx *fasthttp.RequestCtx) (*uint64, error) {
	text := string(ctx.QueryArgs().Peek("base"))
	if text == "" {
		return nil, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("base must be a number")
	}
	return &base, nil
}

func (o *operator) setStop(ctx *fasthttp.RequestCtx, active bool) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := o.instance.SetStop(callCtx, string(ctx.QueryArgs().Peek("name")), active); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx.SetBodyString("{}\n")
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(value) // writing to the response buffer cannot fail
}

func writeError(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(text + "\n")
}
