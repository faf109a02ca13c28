// Package archiver keeps in a row of the table service what must outlive all
// instances: until when older weights may be used, and which parts of prompts are
// refused. Running instances get it from one another.
package archiver

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/pacer"
	"wisteriadrum/registrar"
	"wisteriadrum/tabler"
	"wisteriadrum/versioner"
)

const (
	checkInterval = 250 * time.Millisecond
	callTimeout   = 2 * time.Second
	// maxWriters is the number of candidates that write the row. Each gives those that
	// precede it writerDelay to do so.
	maxWriters  = 3
	writerDelay = 500 * time.Millisecond
)

// Archiver writes the row when something is missing in it, and applies it when it is
// read.
type Archiver struct {
	table     tabler.Table
	key       string
	registrar *registrar.Registrar
	detector  *detector.Detector
	tableNow  func() (time.Time, bool)
	tableEra  func() uint64
	rank      func() int
	// maxLeftMillis bounds the time for which older weights are usable.
	maxLeftMillis int
	count         *counter.Counter
	log           *zap.Logger
	now           func() time.Time

	// writeAt is when this instance writes what is missing, zero if nothing is.
	writeAt time.Time
	// failing means that the last write failed.
	failing bool
	mu      sync.Mutex
	// stored is the row as it was last read or written, storedEra the era of the table in
	// which it was.
	stored    archive
	storedEra uint64
}

// New returns an archiver of the row with a key. tableNow returns the time by the
// table's clock, and false while it is unknown. tableEra returns the newest known era of the
// table, 0 if it has none. rank returns how many live instances
// precede this one as writers, or -1 if it writes nothing. Older weights are usable for
// maxLeftMillis at most.
func New(table tabler.Table, key string, state *registrar.Registrar, detect *detector.Detector, tableNow func() (time.Time, bool), tableEra func() uint64, rank func() int, maxLeftMillis int, count *counter.Counter, log *zap.Logger, now func() time.Time) *Archiver {
	return &Archiver{table: table, key: key, registrar: state, detector: detect, tableNow: tableNow, tableEra: tableEra, rank: rank, maxLeftMillis: maxLeftMillis, count: count, log: log, now: now}
}

// Run writes the row until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	for pacer.Wait(ctx, checkInterval) {
		if !a.isDue() {
			continue
		}
		if err := a.write(ctx); err != nil {
			a.fail(err)
			continue
		}
		a.failing = false
	}
}

// Restore applies the value of the row, which was read in an era of the table.
func (a *Archiver) Restore(value []byte, era uint64) {
	tableNow, known := a.tableNow()
	if !known {
		return // the next read brings the clock, too
	}
	read, err := decode(value)
	if err != nil {
		a.count.Add("rows", "malformed")
		a.log.Warn("malformed archive not restored", zap.String("error", err.Error()))
		return
	}
	a.setStored(read, era)
	for model, versions := range read.versions() {
		for _, v := range versions {
			a.restoreVersion(model, v, v.OlderUntil.Sub(tableNow))
		}
	}
	for _, p := range read.Parts {
		a.restorePart(p.suspect(), tableNow)
	}
}

func (a *Archiver) restoreVersion(model string, v versioner.Version, left time.Duration) {
	left = min(left, time.Duration(a.maxLeftMillis)*time.Millisecond) // a longer time is that of a clock which has started anew
	assumed := a.registrar.Versions(model).Assumes(v.Number)
	v.OlderUntil = a.registrar.Now().Add(left)
	if newer := a.registrar.AddVersion(model, v); newer || assumed {
		a.log.Info("weights version restored", zap.String("model", model), zap.Int("version", v.Number), zap.Int64("older_millis", left.Milliseconds()))
	}
}

func (a *Archiver) restorePart(s detector.Suspect, tableNow time.Time) {
	now := a.now()
	s.Until = now.Add(s.Until.Sub(tableNow)).Round(0).UTC()
	if !s.TrialAt.IsZero() {
		s.TrialAt = now.Add(s.TrialAt.Sub(tableNow)).Round(0).UTC()
	}
	if a.detector.Merge([]detector.Suspect{s}, now) {
		a.log.Info("refused part of prompts restored", zap.String("part", s.Name), zap.Time("until", s.Until))
	}
}

// isDue reports whether something is missing in the row that this instance has to write
// now.
func (a *Archiver) isDue() bool {
	tableNow, known := a.tableNow()
	if !known {
		return false
	}
	if _, missing := a.update(a.loadStored(), tableNow); !missing {
		a.writeAt = time.Time{}
		return false
	}
	rank := a.rank()
	if rank < 0 || rank >= maxWriters {
		return false
	}
	if a.writeAt.IsZero() {
		a.writeAt = a.now().Add(time.Duration(rank) * writerDelay)
	}
	return !a.now().Before(a.writeAt)
}

// update returns the archive with what this instance knows, and whether that changes it.
func (a *Archiver) update(old archive, tableNow time.Time) (next archive, changed bool) {
	next, versionsChanged := old.WithVersions(a.versions(tableNow), tableNow)
	next, partsChanged := next.WithSuspects(a.suspects(tableNow), tableNow)
	return next, versionsChanged || partsChanged
}

// suspects returns the evidence against parts of prompts, with its times by the table's
// clock.
func (a *Archiver) suspects(tableNow time.Time) []detector.Suspect {
	now := a.now()
	suspects := a.detector.Suspects(now)
	for i, s := range suspects {
		suspects[i].Until = tableNow.Add(s.Until.Sub(now))
		if !s.TrialAt.IsZero() {
			suspects[i].TrialAt = tableNow.Add(s.TrialAt.Sub(now))
		}
	}
	return suspects
}

// versions returns the versions that an instance needs after a start, with their times
// by the table's clock.
func (a *Archiver) versions(tableNow time.Time) map[string]versioner.Versions {
	now := a.registrar.Now()
	byModel := map[string]versioner.Versions{}
	for model, versions := range a.registrar.VersionsByModel() {
		for _, v := range versions.Current(now) {
			v.OlderUntil = tableNow.Add(v.OlderUntil.Sub(now))
			byModel[model], _ = byModel[model].With(v)
		}
	}
	return byModel
}

// write reads the row and adds what is missing. If another instance writes it at the
// same time, the next round does so.
func (a *Archiver) write(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := a.table.Get(callCtx, a.key)
	if err != nil {
		return eris.Wrap(err, "read the archive")
	}
	read, err := decode(rows[0].Value)
	if err != nil {
		a.log.Warn("malformed archive is replaced", zap.String("error", err.Error()))
	}
	tableNow, _ := a.tableNow()
	next, missing := a.update(read, tableNow)
	if !missing {
		a.setStored(read, rows[0].Era)
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode archive")
	}
	conflicts, err := a.table.Apply(callCtx, []tabler.Write{{Key: a.key, Value: value, Version: rows[0].Version, Era: rows[0].Era}})
	if err != nil {
		return eris.Wrap(err, "write the archive")
	}
	if len(conflicts) == 0 {
		a.count.Add("archive", "written")
		a.setStored(next, rows[0].Era)
	}
	return nil
}

// fail counts a failed write and logs the first one of a series.
func (a *Archiver) fail(err error) {
	a.count.Add("archive", "failed")
	if !a.failing {
		a.log.Warn("archive not written; it is tried again", zap.String("error", err.Error()))
	}
	a.failing = true
	a.writeAt = a.now().Add(pacer.Jitter(writerDelay))
}

// loadStored returns what the row contains, as far as known: nothing if it may have been
// lost in a newer era.
func (a *Archiver) loadStored() archive {
	era := a.tableEra()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.storedEra != era {
		return archive{}
	}
	return a.stored
}

func (a *Archiver) setStored(stored archive, era uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stored, a.storedEra = stored, era
}
