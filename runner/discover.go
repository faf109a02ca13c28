package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/feeder"
	"wisteriadrum/pacer"
	"wisteriadrum/sharer"
)

// instanceRow is the row of an instance, by which others discover it.
type instanceRow struct {
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Joined means that all others counted the instance when it reached them.
	Joined bool `json:"joined,omitempty"`
}

// discoverPeers writes this instance's row and reads the rows of the others,
// shortly after the start and periodically afterwards. It writes its row again in a new
// era of the store, which may have lost it.
func (r *Runner) discoverPeers(ctx context.Context) {
	own, written, failing := instanceRow{}, false, false
	era := uint64(0)
	pause := pacer.Jitter(maxDiscoveryDelay)
	for r.awaitDiscovery(ctx, pause, era, own.Joined) {
		pause = discoveryRetryDelay
		isStored := written && r.deps.StoreEra() == era && r.joined.Load() == own.Joined
		if isStored && r.sharer.ReportsToHub() {
			pause = discoveryInterval // the hub sends the state of the other instances
			continue
		}
		var writeErr error
		if !isStored {
			own, era, writeErr = r.putRow(ctx, own)
			written = writeErr == nil
		}
		if err := errors.Join(writeErr, r.readRows(ctx)); err != nil {
			if !failing {
				r.log.Warn("writing or reading the rows of instances failed", zap.String("error", err.Error()))
			}
			failing = true
			continue
		}
		failing = false
		pause = pacer.Jitter(discoveryInterval)
	}
}

// putRow writes the row of this instance after another one, which is empty at first. It
// returns what it wrote and the era of the store.
func (r *Runner) putRow(ctx context.Context, last instanceRow) (instanceRow, uint64, error) {
	if r.options.Quotas.InForce() && last.Addr == "" {
		if err := r.findJoined(ctx); err != nil {
			return last, 0, err
		}
	}
	own := instanceRow{Zone: r.options.DataCentre, Addr: r.options.PeerAddress, Joined: r.joined.Load()}
	value, err := json.Marshal(own)
	if err != nil {
		return last, 0, eris.Wrap(err, "encode the row of this instance")
	}
	era, err := r.deps.PutRow(ctx, instanceKeyPrefix+r.options.Name, value)
	return own, era, err
}

// awaitDiscovery waits for a pause, or for less if the store is in a newer era than a known
// one, or if this instance has joined the others since. It returns false if ctx ends.
func (r *Runner) awaitDiscovery(ctx context.Context, pause time.Duration, era uint64, joined bool) bool {
	for ; pause > discoveryRetryDelay; pause -= discoveryRetryDelay {
		if r.joined.Load() != joined || era > 0 && r.deps.StoreEra() > era {
			return pacer.Wait(ctx, pacer.Jitter(discoveryRetryDelay))
		}
		if !pacer.Wait(ctx, discoveryRetryDelay) {
			return false
		}
	}
	return pacer.Wait(ctx, pause)
}

// readRows reads and applies the rows of the instances and the archive.
func (r *Runner) readRows(ctx context.Context) error {
	era := r.deps.StoreEra()
	rows, err := r.deps.PeerRows(ctx)
	if err != nil {
		return err
	}
	r.restoreArchive(rows, era)
	r.sharer.AddPeers(r.decodePeers(rows))
	if r.sharer.AwaitsHub() {
		r.informer.AwaitSource(time.Now().Add(hubWait))
	}
	return nil
}

// restoreArchive applies the archive if it is among rows that were read in an era.
func (r *Runner) restoreArchive(rows []feeder.Row, era uint64) {
	for _, row := range rows {
		if row.Key == archiveKey {
			r.archiver.Restore(row.Value, era)
		}
	}
}

// decodePeers returns the instances in rows. It skips other and malformed rows.
func (r *Runner) decodePeers(rows []feeder.Row) []sharer.Peer {
	var peers []sharer.Peer
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, instanceKeyPrefix) {
			continue
		}
		var parsed instanceRow
		err := json.Unmarshal(row.Value, &parsed)
		if err == nil {
			_, err = netip.ParseAddrPort(parsed.Addr)
		}
		if err != nil {
			r.count.Add("rows", "malformed")
			r.log.Warn("malformed row of an instance skipped", zap.String("key", row.Key), zap.String("error", err.Error()))
			continue
		}
		peers = append(peers, sharer.Peer{Name: strings.TrimPrefix(row.Key, instanceKeyPrefix), DataCentre: parsed.Zone, Address: parsed.Addr})
	}
	return peers
}
