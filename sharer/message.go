package sharer

import (
	"bytes"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"wisteriadrum/detector"
	"wisteriadrum/monitor"
	"wisteriadrum/quarantiner"
)

// message is the content of one datagram. It is encoded as an array, so the
// order of the fields is part of the format.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Name, SenderDataCentre and SenderAddress describe the sender.
	Name             string
	SenderDataCentre string
	SenderAddress    string
	// Rate is the rate of the sender's link in Mbit/s, 0 if unknown.
	Rate int
	// Incarnation is the sender's incarnation, Seq the sequence number of the
	// message within it.
	Incarnation int64
	Seq         uint64
	// Table is the version of the sender's configuration, Tables are the
	// versions of the tables that it follows.
	Table  int64
	Tables []uint64
	// Complete are the times in milliseconds by the clock of the store up to which the
	// sender knows all changes of the tables, 0 if unknown.
	Complete []int64
	Flags    flags
	// Hub is the hub that the sender reports to, "" if it reports to none.
	Hub string
	// GroupSize is the number of instances of which a hub sends the loads,
	// itself included; TotalSize is the number of live instances according to
	// the messages that the sender received.
	GroupSize, TotalSize int
	// Loads are the sums over the instances of which the sender sends the
	// loads. Endpoints that are not listed have no load unless flagChangesOnly is
	// set.
	Loads   []load
	Parts   []part
	Weights []weights
	// EmptyStores are the keys of stores that have lost all parts.
	EmptyStores []uint64
	Cases       []quarantiner.Case
	// Versions are the announced versions of weights.
	Versions []version
	// Suspects are parts of prompts that may crash endpoints.
	Suspects []detector.Suspect
	// Said is what endpoints have said of themselves.
	Said []said
	// Taken are the keys of endpoints whose address another endpoint has, Refusing those
	// of endpoints at whose address nothing listens.
	Taken, Refusing []uint64
	// Local is the number of instances in the sender's data centre that it knows, Members
	// that of all instances, 0 if unknown, whether or not they are live.
	Local, Members int
}

// flags are properties of the sender and of the message.
type flags uint8

const (
	// flagLeader means that the sender holds the lease on orders.
	flagLeader flags = 1 << iota
	// flagLeaving means that the sender is about to stop.
	flagLeaving
	// flagStopped means that the sender stops now.
	flagStopped
	// flagHub means that the sender is a hub.
	flagHub
	// flagChangesOnly means that the loads omit those that have not changed since
	// the sender's last message. An endpoint whose load has ended is listed with no
	// load.
	flagChangesOnly
)

func (f flags) has(flag flags) bool { return f&flag != 0 }

// tokensPerUnit is the unit of the token counts in a load.
const tokensPerUnit = 64

// load is the load on an endpoint; tokens are in units of tokensPerUnit.
type load struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key          uint64
	Requests     int
	PrefillUnits int
	KVUnits      int
}

// part announces that an endpoint has a part of a prompt in its KV cache.
type part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      uint64
	Part     uint64
	Tokens   int
	// Pending means that the endpoint is still computing or loading the part, or has
	// stopped before it was complete if Tokens is 0.
	Pending bool
	// Own means that the part belongs to one request or session.
	Own bool
}

// weights announces the version of a model at an endpoint. If LoadingMillis is
// not 0, the endpoint loads weights for that time instead.
type weights struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key           uint64
	Model         string
	Version       int
	LoadingMillis int
}

// version announces until when requests may start on older versions of a model.
type version struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Model    string
	Number   int
	// RemainingMillis is the time until then, 0 if it has passed.
	RemainingMillis int
}

// said announces what an endpoint has said of itself.
type said struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      uint64
	// Leaving means that it leaves.
	Leaving bool
	// LimitMilli is the number of requests that it takes in 1,000 seconds, limitEnded if
	// it has stopped naming a limit, 0 if the announcement is not about that.
	LimitMilli int
}

// limitEnded is the limit of an endpoint that has stopped naming one.
const limitEnded = -1

// maxLimitMilli bounds a limit in a message.
const maxLimitMilli = 1 << 40

// newSaid returns what an endpoint has said of itself.
func newSaid(endpoint *monitor.Monitor) said {
	return said{Key: endpoint.Key, Leaving: endpoint.Said().Leaving()}
}

// maxTokens bounds a count of tokens in a message.
const maxTokens = 1 << 40

// maxRemainingMillis bounds the time for which older weights may still be used:
// a day.
const maxRemainingMillis = 24 * 60 * 60 * 1000

func (m *message) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	return buffer.Bytes(), eris.Wrap(err, "encode message")
}

// decode decodes and validates a datagram.
func decode(data []byte) (*message, error) {
	// The codec allocates a list by its announced length before reading it, so
	// a first pass rejects lists that are longer than the datagram.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	m := &message{}
	if err := msgpack.Unmarshal(data, m); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	return m, m.validate()
}

func (m *message) validate() error {
	if m.Name == "" {
		return eris.New("message has no sender name")
	}
	if _, err := netip.ParseAddrPort(m.SenderAddress); err != nil {
		return eris.Wrap(err, "parse sender address of message")
	}
	if m.GroupSize < 0 || m.TotalSize < 0 || m.Local < 0 || m.Members < 0 {
		return eris.New("message has a negative number of instances")
	}
	for _, at := range m.Complete {
		if at < 0 {
			return eris.New("message has a negative time of a table")
		}
	}
	for _, l := range m.Loads {
		if l.Requests < 0 || l.PrefillUnits < 0 || l.KVUnits < 0 || l.KVUnits > maxTokens || l.PrefillUnits > maxTokens {
			return eris.New("message has a load out of range")
		}
	}
	for _, v := range m.Versions {
		if v.Model == "" || v.Number <= 0 || v.RemainingMillis < 0 || v.RemainingMillis > maxRemainingMillis {
			return eris.New("message has a version of weights out of range")
		}
	}
	for _, s := range m.Suspects {
		if err := s.Validate(); err != nil {
			return err
		}
	}
	for _, item := range m.Said {
		if item.LimitMilli < limitEnded || item.LimitMilli > maxLimitMilli {
			return eris.New("message has a limit of an endpoint out of range")
		}
	}
	for _, p := range m.Parts {
		if p.Tokens < 0 || p.Tokens > maxTokens {
			return eris.New("message has a part with a token count out of range")
		}
	}
	return nil
}

// isDue reports whether the message is sent within the scope.
func (m *message) isDue(scope scope) bool {
	hasUrgent := len(m.Weights)+len(m.Cases)+len(m.EmptyStores)+len(m.Suspects)+len(m.Said)+len(m.Taken)+len(m.Refusing) > 0
	switch scope {
	case urgentOnly:
		return hasUrgent
	case changesOnly:
		return hasUrgent || len(m.Loads)+len(m.Parts) > 0
	default:
		return true
	}
}

func (l load) load() monitor.Load {
	return monitor.Load{Requests: l.Requests, PrefillTokens: l.PrefillUnits * tokensPerUnit, KVTokens: l.KVUnits * tokensPerUnit}
}

// newLoad returns the load on the endpoint with a key, rounded to units.
func newLoad(key uint64, sum monitor.Load) load {
	return load{Key: key, Requests: sum.Requests, PrefillUnits: toUnits(sum.PrefillTokens), KVUnits: toUnits(sum.KVTokens)}
}

func toUnits(tokens int) int { return (tokens + tokensPerUnit/2) / tokensPerUnit }
