package informer

import (
	"bytes"
	"encoding/gob"
	"sync"

	"github.com/rotisserie/eris"

	"wisteriadrum/compressor"
	"wisteriadrum/feeder"
)

// packer encodes pages and caches the last one of each table, since many
// instances request the same page at about the same time.
type packer struct {
	mu   sync.Mutex
	last map[string]packed
}

// packed is the encoded page with the changes from one version to another.
type packed struct {
	known, version uint64
	data           []byte
}

func newPacker() *packer { return &packer{last: map[string]packed{}} }

// page returns the encoding of page, which has the changes of table after the
// version known.
func (p *packer) page(table string, known uint64, page feeder.Page) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.last[table]; last.known == known && last.version == page.Version {
		return last.data, nil
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(page); err != nil {
		return nil, eris.Wrap(err, "encode page")
	}
	next := packed{known: known, version: page.Version, data: compressor.Compress(buffer.Bytes())}
	p.last[table] = next
	return next.data, nil
}

// unpack decodes a page.
func unpack(data []byte) (feeder.Page, error) {
	var page feeder.Page
	text, err := compressor.Decompress(data)
	if err != nil {
		return page, err
	}
	return page, eris.Wrap(gob.NewDecoder(bytes.NewReader(text)).Decode(&page), "decode page")
}
