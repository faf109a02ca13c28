package feeder

import (
	"context"
	"time"
)

// Row is a row as of a version.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
	// Version is the version at which the row was written or deleted, 0 if it
	// is unknown.
	Version uint64
	// changedAt is the time from which on the row may have changed, by the clock of
	// this instance.
	changedAt time.Time
}

// Page contains rows as of a version.
type Page struct {
	Rows    []Row
	Version uint64
	// Whole means that the page is the whole table; otherwise it contains the
	// rows that changed.
	Whole bool
	// Content is the version of the last change as known by the sender, 0 if it
	// follows from the rows.
	Content uint64
	// Age is how long ago the store made the page, or for a page from another instance
	// how long ago its rows changed at most, as far as known.
	Age time.Duration
}

// Store is the store of the platform.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the rows that changed after a version. It waits for a
	// change, and returns no rows if there is none for some time. The error is
	// ErrHistoryGone if the changes are not stored any more.
	Watch(ctx context.Context, table string, after uint64) (Page, error)
	// Changes is like Watch but does not wait for a change.
	Changes(ctx context.Context, table string, after uint64) (Page, error)
}

// Apply applies rows: the whole table, or the changed rows. They changed just now, or at
// any time after since if that is not zero, since answers were missing or late.
type Apply func(rows []Row, whole bool, since time.Time)
