package informer

import (
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"wisteriadrum/compressor"
)

// Preserved is content that instances pass on beside the tables, since the tables may go back
// to an older copy of it.
type Preserved struct {
	apply func(value []byte)

	mu      sync.Mutex
	version int64
	value   []byte
}

// NewPreserved returns a Preserved that passes the content of another instance to apply.
func NewPreserved(apply func(value []byte)) *Preserved { return &Preserved{apply: apply} }

// Keep keeps a version of the content, unless a newer one is kept.
func (p *Preserved) Keep(version int64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > p.version {
		p.version, p.value = version, value
	}
}

// newer returns the content if it is newer than a version, nil otherwise.
func (p *Preserved) newer(version int64) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version <= version {
		return nil
	}
	return p.value
}

func (p *Preserved) known() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// Preserve makes the informer exchange content with other instances. It is called before Run
// and Serve.
func (i *Informer) Preserve(content *Preserved) { i.preserved = content }

// fetchPreserved requests the content of the peer at address, whose version is newer.
func (i *Informer) fetchPreserved(address string) {
	known := i.preserved.known()
	client, err := i.connect(address)
	if err == nil {
		defer client.Close() //nolint:errcheck // the reply has been received by then
		var value []byte
		value, err = i.callPreserved(client, known)
		if len(value) > 0 {
			i.count.Add("tables", "preserved")
			i.log.Info("newer content received from a peer than the store has", zap.String("peer", address), zap.Int64("version_before", known))
			i.preserved.apply(value)
		}
	}
	if err != nil {
		i.count.Add("tables", "unanswered")
		i.log.Info("content not received from a peer", zap.String("peer", address), zap.String("error", err.Error()))
	}
}

// callPreserved requests content that is newer than a version. It returns nil if there is none.
func (i *Informer) callPreserved(client *rpc.Client, known int64) ([]byte, error) {
	var packed []byte
	call := client.Go(service+".Preserved", known, &packed, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-time.After(callTimeout):
		return nil, errSourceGone
	}
	if call.Error != nil || len(packed) == 0 {
		return nil, call.Error
	}
	return compressor.Decompress(packed)
}

// Preserved replies with the content if it is newer than a version, otherwise with none.
func (a *answerer) Preserved(known int64, reply *[]byte) error {
	if a.preserved == nil {
		return nil
	}
	if value := a.preserved.newer(known); value != nil {
		*reply = compressor.Compress(value)
	}
	return nil
}
