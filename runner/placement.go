package runner

import (
	"encoding/json"
	"net/url"

	"github.com/valyala/fasthttp"

	"wisteriadrum/exposer"
	"wisteriadrum/locator"
)

// placementPath is the path under which the listener of the metrics says where a request
// would be sent now.
const placementPath = "/placement"

// handleOperator returns the handler of the listener of the metrics.
func (r *Runner) handleOperator(expose *exposer.Exposer) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == placementPath {
			r.handlePlacement(ctx)
			return
		}
		expose.Handle(ctx)
	}
}

// handlePlacement says where a request would be sent now.
func (r *Runner) handlePlacement(ctx *fasthttp.RequestCtx) {
	values, err := url.ParseQuery(string(ctx.URI().QueryString()))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	query, err := locator.ParseQuery(values)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	found, err := r.relayer.Locate(query)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	found.Instance = r.options.Name
	text, err := json.Marshal(found)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
