// Package operator answers operators and the platform's probes over HTTP.
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

// Status is what an instance says of itself.
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

// Endpoint is what an instance knows of one endpoint.
type Endpoint struct {
	Name     string          `json:"name"`
	Open     bool            `json:"open"`
	InFlight int             `json:"flight"`
	Report   reporter.Report `json:"report"`
}

// Instance is what the operator interface needs of its instance.
type Instance interface {
	// Ready reports whether new requests should be sent here.
	Ready() bool
	// Status describes the instance.
	Status() Status
	// Publish publishes a set, as publisher.Publisher does.
	Publish(ctx context.Context, source []byte, base *uint64) (follower.Head, error)
	// WaitInForce returns how many live instances have number in force, of how many.
	WaitInForce(ctx context.Context, number uint64) (int, int)
	// SetStop begins or ends a planned stop.
	SetStop(ctx context.Context, name string, active bool) error
}

type operator struct {
	node     Instance
	registry metrics.Registry
	key      []byte
}

// New returns a server for operators. The key is the SHA-256 of the operator
// key in hexadecimal; empty means that the listener is a loopback one and
// asks for no key. Health, readiness and metrics never ask for it.
func New(node Instance, registry metrics.Registry, key string) *fasthttp.Server {
	digest, _ := hex.DecodeString(key) // Settings.Check has decoded it before
	o := &operator{node: node, registry: registry, key: digest}
	return &fasthttp.Server{Handler: o.handle, NoDefaultServerHeader: true, Logger: muter.New()}
}

func (o *operator) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		o.ready(ctx)
	case "/metrics":
		exposer.New(o.registry).Handle(ctx)
	case "/metrics.json":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(o.registry, ctx)
	default:
		o.guarded(ctx)
	}
}

func (o *operator) guarded(ctx *fasthttp.RequestCtx) {
	if !o.allowed(ctx) {
		fail(ctx, fasthttp.StatusUnauthorized, "an operator key is required")
		return
	}
	method, path := string(ctx.Method()), string(ctx.Path())
	switch {
	case method == "GET" && path == "/status":
		reply(ctx, o.node.Status())
	case method == "POST" && path == "/publish":
		o.publish(ctx)
	case method == "POST" && (path == "/stop" || path == "/unstop"):
		o.stop(ctx, path == "/stop")
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such operation")
	}
}

func (o *operator) allowed(ctx *fasthttp.RequestCtx) bool {
	if len(o.key) == 0 {
		return true
	}
	given := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(digest[:], o.key) == 1
}

func (o *operator) ready(ctx *fasthttp.RequestCtx) {
	if !o.node.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// PublishReply is the answer to a publication.
type PublishReply struct {
	Number    uint64 `json:"number"`
	Digest    string `json:"digest"`
	InForce   int    `json:"in_force"`
	Instances int    `json:"of"`
}

func (o *operator) publish(ctx *fasthttp.RequestCtx) {
	base, err := baseOf(ctx)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	head, err := o.node.Publish(limit, ctx.PostBody(), base)
	var problems decoder.Problems
	var conflict *publisher.ConflictError
	switch {
	case err == nil:
		inForce, of := o.node.WaitInForce(limit, head.Number)
		reply(ctx, PublishReply{Number: head.Number, Digest: head.Digest, InForce: inForce, Instances: of})
	case errors.As(err, &problems):
		fail(ctx, fasthttp.StatusUnprocessableEntity, problems.Error())
	case errors.As(err, &conflict):
		fail(ctx, fasthttp.StatusConflict, conflict.Error())
	default:
		fail(ctx, fasthttp.StatusServiceUnavailable, fmt.Sprintf("the set may or may not come into force: %s", err))
	}
}

func baseOf(ctx *fasthttp.RequestCtx) (*uint64, error) {
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

func (o *operator) stop(ctx *fasthttp.RequestCtx, active bool) {
	limit, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := o.node.SetStop(limit, string(ctx.QueryArgs().Peek("name")), active); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx.SetBodyString("{}\n")
}

func reply(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(value) // writes to memory
}

func fail(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(text + "\n")
}
