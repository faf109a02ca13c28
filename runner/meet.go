package runner

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"

	"go.uber.org/zap"

	"wisteriadrum/feeder"
	"wisteriadrum/pacer"
	"wisteriadrum/sharer"
)

// peerRow is the row by which instances find each other.
type peerRow struct {
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// meet writes this instance's row and reads those of the others, soon after
// the start and then now and then.
func (c *Runner) meet(ctx context.Context) {
	value, err := json.Marshal(peerRow{Zone: c.options.DataCentre, Addr: c.options.PeerAddress})
	if err != nil {
		c.log.Error("row of this instance not encoded", zap.String("error", err.Error()))
		return
	}
	written, failing := false, false
	pause := pacer.Jitter(firstMeet)
	for pacer.Wait(ctx, pause) {
		pause = meetRetry
		if written && c.share.ReportsToHub() {
			pause = meetEvery // the hub knows the others
			continue
		}
		var rows []feeder.Row
		var err error
		if !written {
			err = c.ports.PutRow(ctx, rowPrefix+c.options.Name, value)
			written = err == nil
		}
		if err == nil {
			rows, err = c.ports.PeerRows(ctx)
		}
		if err != nil {
			if !failing {
				c.log.Warn("rows of the instances not written or read", zap.String("error", err.Error()))
			}
			failing = true
			continue
		}
		failing = false
		c.share.AddPeers(c.decode(rows))
		pause = pacer.Jitter(meetEvery)
	}
}

func (c *Runner) decode(rows []feeder.Row) []sharer.Peer {
	var peers []sharer.Peer
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, rowPrefix) {
			continue
		}
		var decoded peerRow
		err := json.Unmarshal(row.Value, &decoded)
		if err == nil {
			_, err = netip.ParseAddrPort(decoded.Addr)
		}
		if err != nil {
			c.count.Add("rows", "malformed")
			c.log.Warn("malformed row of an instance passed over", zap.String("key", row.Key), zap.String("error", err.Error()))
			continue
		}
		peers = append(peers, sharer.Peer{Name: strings.TrimPrefix(row.Key, rowPrefix), DataCentre: decoded.Zone, Address: decoded.Addr})
	}
	return peers
}
