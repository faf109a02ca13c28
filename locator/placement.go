package locator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Verdicts on a request.
const (
	Sent    = "sent"
	Waits   = "waits"
	Refused = "refused"
)

// Placement says where one instance would send a request now.
type Placement struct {
	Instance string `json:"instance"`
	Route    string `json:"route"`
	Pool     string `json:"pool"`
	// Verdict is Sent, Waits or Refused, Reason the limit that makes it wait or be refused.
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
	// Endpoint is the one that the request would be sent to, or wait for, and Source the one
	// from which cached parts would be fetched.
	Endpoint string `json:"endpoint,omitempty"`
	Source   string `json:"source,omitempty"`
	// Candidates are the endpoints of the pool, the best first.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint that the request could be sent to.
type Candidate struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"site"`
	// PredictedMillis is the predicted time to the first event, Cost that with the penalties.
	PredictedMillis float64 `json:"millis"`
	Cost            float64 `json:"cost"`
	// CachedTokens is the number of prompt tokens that it caches.
	CachedTokens int `json:"cached"`
	Requests     int `json:"requests"`
	// Notes say what speaks against it.
	Notes []string `json:"notes,omitempty"`
}

// UnmarshalJSON decodes a placement and checks it.
func (a *Placement) UnmarshalJSON(data []byte) error {
	type plain Placement
	if err := json.Unmarshal(data, (*plain)(a)); err != nil {
		return err
	}
	switch a.Verdict {
	case Sent, Waits, Refused:
		return nil
	default:
		return eris.Errorf("verdict of a placement: %q is unknown", a.Verdict)
	}
}

// Write writes the placement as a text for people.
func (a *Placement) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "instance %s, route %s, pool %s: %s", a.Instance, a.Route, a.Pool, a.Verdict)
	if a.Endpoint != "" {
		_, _ = fmt.Fprintf(table, ", endpoint %s", a.Endpoint)
	}
	if a.Source != "" {
		_, _ = fmt.Fprintf(table, ", cached parts from %s", a.Source)
	}
	if a.Reason != "" {
		_, _ = fmt.Fprintf(table, ": %s", a.Reason)
	}
	_, _ = fmt.Fprint(table, "\n\nendpoint\tsite\tmillis\tcost\tcached\trequests\tnotes\n")
	for _, c := range a.Candidates {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.0f\t%d\t%d\t%s\n", c.Endpoint, c.DataCentre, c.PredictedMillis, c.Cost, c.CachedTokens, c.Requests, strings.Join(c.Notes, ", "))
	}
	return table.Flush()
}
