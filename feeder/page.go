package feeder

import "context"

// Row is a row as it was at a version.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
	// Version is when the row was written or deleted, 0 if that is not known.
	Version uint64
}

// Page is rows as of a version.
type Page struct {
	Rows    []Row
	Version uint64
	// Whole reports that there are no other rows; else these changed.
	Whole bool
	// Content is the version of the last change that the sender knows, 0 if
	// the rows tell it.
	Content uint64
}

// Store is the store.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the rows that changed after a version, as soon as there are
	// any or after a while none. The error is ErrHistory if they are not known.
	Watch(ctx context.Context, table string, after uint64) (Page, error)
}
