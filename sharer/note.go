package sharer

import (
	"bytes"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
)

// note is one datagram: what an instance tells another.
type note struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Name, Zone and Addr are the sender's name, data centre and address.
	Name string
	Zone string
	Addr string
	// Rate is the rate of its link in Mbit/s.
	Rate int
	// Boot is the sender's incarnation, Seq the number of its note.
	Boot int64
	Seq  uint64
	// Table is the version of its configuration, Tables those of the tables
	// that it follows.
	Table  int64
	Tables []uint64
	Flags  flags
	// Hub is the hub that the sender reports to, "" if it is one itself.
	Hub string
	// Group is the number of instances that a hub speaks for, itself included;
	// All is the number of all live instances as far as it knows.
	Group, All int
	// Loads are the work of those for whom the sender speaks. Endpoints that
	// are not named carry none.
	Loads   []load
	Parts   []part
	Weights []weights
	// Empty names stores that have lost all parts.
	Empty []uint64
	Cases []quarantiner.Case
}

// flags are what is true of the sender.
type flags uint8

const (
	// flagLead: the sender holds the lease on orders.
	flagLead flags = 1 << iota
	// flagLeaving: the sender is about to end.
	flagLeaving
	// flagGone: the sender ends now.
	flagGone
	// flagHub: the sender is a hub.
	flagHub
	// flagLocal: endpoints of other data centres than the sender's are left
	// out of the loads.
	flagLocal
)

func (f flags) has(flag flags) bool { return f&flag != 0 }

// tokenUnit is the number of tokens by which loads are told.
const tokenUnit = 64

// load is work at an endpoint; tokens are in units.
type load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      uint64
	Requests int
	Unread   int
	Memory   int
}

type part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      uint64
	Part     uint64
	Tokens   int
	// Soon reports that the part is being read.
	Soon bool
}

// weights tells which version an endpoint has, or that it loads it for so
// many milliseconds.
type weights struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      uint64
	Model    string
	Version  int
	Loading  int
}

// mostTokens bounds a count of tokens in a note.
const mostTokens = 1 << 40

// encode returns the datagram of a note.
func (n *note) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(n)
	return buffer.Bytes(), eris.Wrap(err, "encode note")
}

// decode reads a datagram and checks it.
func decode(data []byte) (*note, error) {
	// The codec makes room for a list before it reads it; a first pass finds
	// lists that are longer than the datagram.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, eris.Wrap(err, "decode note")
	}
	n := &note{}
	if err := msgpack.Unmarshal(data, n); err != nil {
		return nil, eris.Wrap(err, "decode note")
	}
	return n, n.check()
}

func (n *note) check() error {
	if n.Name == "" {
		return eris.New("a note needs a name")
	}
	if _, err := netip.ParseAddrPort(n.Addr); err != nil {
		return eris.Wrap(err, "address of a note")
	}
	if n.Group < 0 || n.All < 0 {
		return eris.New("a note with a negative number of instances")
	}
	for _, l := range n.Loads {
		if l.Requests < 0 || l.Unread < 0 || l.Memory < 0 || l.Memory > mostTokens || l.Unread > mostTokens {
			return eris.New("a note with an impossible load")
		}
	}
	for _, p := range n.Parts {
		if p.Tokens < 0 || p.Tokens > mostTokens {
			return eris.New("a note with an impossible part")
		}
	}
	return nil
}

// worth reports whether the note is worth sending when such are due.
func (n *note) worth(due due) bool {
	pressing := len(n.Weights)+len(n.Cases)+len(n.Empty) > 0
	switch due {
	case urgent:
		return pressing
	case changed:
		return pressing || len(n.Loads)+len(n.Parts) > 0
	default:
		return true
	}
}

func (l load) load() monitor.Load {
	return monitor.Load{Requests: l.Requests, PrefillTokens: l.Unread * tokenUnit, KVTokens: l.Memory * tokenUnit}
}

// loadOf tells a load, rounded to units.
func loadOf(key uint64, of monitor.Load) load {
	return load{Key: key, Requests: of.Requests, Unread: units(of.PrefillTokens), Memory: units(of.KVTokens)}
}

func units(tokens int) int { return (tokens + tokenUnit/2) / tokenUnit }
