package sharer

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
)

// note is one datagram: what an instance tells the others.
type note struct {
	// Name, Zone and Addr are the sender's name, data centre and address.
	Name string `json:"n"`
	Zone string `json:"z"`
	Addr string `json:"a"`
	// Boot is the sender's incarnation, Seq the number of its note.
	Boot int64  `json:"b"`
	Seq  uint64 `json:"s"`
	// Table is the version of its configuration.
	Table int64 `json:"t,omitempty"`
	// Full reports that endpoints that are not named carry none of its load.
	Full    bool      `json:"f,omitempty"`
	Loads   []load    `json:"l,omitempty"`
	Parts   []part    `json:"p,omitempty"`
	Weights []weights `json:"w,omitempty"`
	// Empty names stores that have lost all parts.
	Empty []uint64           `json:"y,omitempty"`
	Cases []quarantiner.Case `json:"c,omitempty"`
	// Lead reports that the sender holds the lease on orders.
	Lead bool `json:"h,omitempty"`
	// Leaving reports that the sender is about to end, Gone that it ends now.
	Leaving bool `json:"e,omitempty"`
	Gone    bool `json:"g,omitempty"`
}

type load struct {
	Key      uint64 `json:"k"`
	Requests int    `json:"r,omitempty"`
	Unread   int    `json:"u,omitempty"`
	Memory   int    `json:"m,omitempty"`
}

type part struct {
	Key    uint64 `json:"k"`
	Part   uint64 `json:"p"`
	Tokens int    `json:"t"`
	// Soon reports that the part is being read.
	Soon bool `json:"s,omitempty"`
}

// weights tells which version an endpoint has, or that it loads it for so
// many milliseconds.
type weights struct {
	Key     uint64 `json:"k"`
	Model   string `json:"m"`
	Version int    `json:"v,omitempty"`
	Loading int    `json:"l,omitempty"`
}

// mostTokens bounds a count of tokens in a note.
const mostTokens = 1 << 40

// UnmarshalJSON decodes a note and checks it.
func (n *note) UnmarshalJSON(data []byte) error {
	type plain note
	if err := json.Unmarshal(data, (*plain)(n)); err != nil {
		return err
	}
	if n.Name == "" {
		return eris.New("a note needs a name")
	}
	if _, err := netip.ParseAddrPort(n.Addr); err != nil {
		return eris.Wrap(err, "address of a note")
	}
	for _, l := range n.Loads {
		if l.Requests < 0 || l.Unread < 0 || l.Memory < 0 || l.Memory > mostTokens {
			return eris.New("a note with an impossible load")
		}
	}
	return nil
}

// news reports whether the note tells anything new.
func (n *note) news() bool {
	return len(n.Loads)+len(n.Parts)+len(n.Weights)+len(n.Cases)+len(n.Empty) > 0
}

func (l load) load() monitor.Load {
	return monitor.Load{Requests: l.Requests, Unread: l.Unread, Memory: l.Memory}
}
