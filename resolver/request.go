// Package resolver authenticates a caller's request and resolves its workspace,
// route, pool, model and prompt.
package resolver

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"wisteriadrum/director"
	"wisteriadrum/grouper"
	"wisteriadrum/hasher"
	"wisteriadrum/indexer"
	"wisteriadrum/judge"
	"wisteriadrum/modeler"
	"wisteriadrum/prompter"
	"wisteriadrum/quarantiner"
	"wisteriadrum/refuser"
	"wisteriadrum/tenant"
)

const (
	maxLevels    = 256
	maxKeyBytes  = 256
	bearerPrefix = "Bearer "
)

// Paths of model requests.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// Input is a caller's request as it was received.
type Input struct {
	ID             string
	Method         string
	Path           string
	Query          string
	ContentType    string
	Authorization  string
	IdempotencyKey string
	LastEventID    string
	Body           []byte
	ReceivedAt     time.Time
}

// Request is a caller's request with the configuration objects that it refers to.
// Model, Prompt and Chain are set for model requests only.
type Request struct {
	Input
	Workspace   tenant.Workspace
	Route       director.Route
	Pool        grouper.Pool
	Model       modeler.Model
	Prompt      prompter.Prompt
	Chain       hasher.Chain
	Fingerprint uint64
	Salt        string
}

// New resolves input with the configuration in index. The error is a
// *refuser.Refusal.
func New(input Input, index *indexer.Index) (*Request, error) {
	if index == nil {
		return nil, refuser.New(refuser.NoConfiguration, judge.NotRun, "no configuration has reached this instance yet")
	}
	workspace, err := authenticate(input.Authorization, index)
	if err != nil {
		return nil, err
	}
	if len(input.IdempotencyKey) > maxKeyBytes {
		return nil, refuser.New(refuser.TooLarge, judge.NotRun, "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	r := &Request{Input: input, Workspace: workspace, Salt: cacheSalt(workspace.Name)}
	if input.Path == CompletionsPath || input.Path == ChatPath {
		err = r.resolveModel(index)
	} else {
		err = r.resolveService(index)
	}
	if err != nil {
		return nil, err
	}
	if !r.Route.Allows(workspace.Name) {
		return nil, refuser.New(refuser.Forbidden, judge.NotRun, "workspace %s may not use route %s", workspace.Name, r.Route.Name)
	}
	r.Fingerprint = quarantiner.Fingerprint(workspace.Name, input.Path, input.Body)
	return r, nil
}

// ClaimKey returns the key of the row that records the request in the platform's
// table.
func (r *Request) ClaimKey() string {
	return "once/" + r.Workspace.Name + "/" + r.Route.Name + "/" + hexDigest(r.IdempotencyKey)
}

// ContentHash returns the hash of the method, path, query and body. An
// idempotency key can be reused only for a request with the same hash.
func (r *Request) ContentHash() string {
	return hexDigest(r.Method + "\x00" + r.Path + "\x00" + r.Query + "\x00" + string(r.Body))
}

// Target returns the HTTP request target, which is the path with the query.
func (r *Request) Target() string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}

func (r *Request) resolveModel(index *indexer.Index) error {
	if r.Method != "POST" {
		return refuser.New(refuser.BadRequest, judge.NotRun, "%s needs method POST", r.Path)
	}
	prompt, err := prompter.New(r.Body, r.Path == ChatPath)
	if err != nil {
		return refuser.New(refuser.BadRequest, judge.NotRun, "%s", err)
	}
	route, ok := index.ModelRoute(prompt.Model)
	if !ok {
		return refuser.New(refuser.NoRoute, judge.NotRun, "no route serves model %q", prompt.Model)
	}
	r.Route, r.Prompt = route, prompt
	r.Pool = index.Pool(route.Pool)
	r.Model = index.Model(r.Pool.Model)
	if levels := len(prompt.Text) / r.Model.PieceBytes(); levels > maxLevels {
		return refuser.New(refuser.TooDeep, judge.NotRun, "the prompt has %d pieces, more than %d", levels, maxLevels)
	}
	r.Chain = hasher.New(r.Salt, prompt.Model, r.Pool.Version, prompt.Text, r.Model.PieceBytes())
	return nil
}

func (r *Request) resolveService(index *indexer.Index) error {
	route, ok := index.PathRoute(r.Path)
	if !ok {
		return refuser.New(refuser.NoRoute, judge.NotRun, "no route serves path %q", r.Path)
	}
	if route.KeyRequired && r.IdempotencyKey == "" {
		return refuser.New(refuser.KeyRequired, judge.NotRun, "route %s needs an Idempotency-Key", route.Name)
	}
	r.Route, r.Pool = route, index.Pool(route.Pool)
	return nil
}

func authenticate(authorization string, index *indexer.Index) (tenant.Workspace, error) {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return tenant.Workspace{}, refuser.New(refuser.Unauthorized, judge.NotRun, "a bearer key is required")
	}
	workspace, ok := index.Workspace(key)
	if !ok {
		return tenant.Workspace{}, refuser.New(refuser.Unauthorized, judge.NotRun, "the bearer key is unknown")
	}
	return workspace, nil
}

func cacheSalt(workspace string) string { return hexDigest("salt\x00" + workspace)[:16] }

func hexDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
