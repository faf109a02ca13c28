package informer

import "time"

// Known returns what this instance knows of the tables, in the order of the feeders: the
// versions of the last changes, and the times in milliseconds by the clock of the store up
// to which it knows all changes, 0 if unknown.
func (i *Informer) Known() (changes []uint64, complete []int64) {
	changes, complete = make([]uint64, len(i.feeders)), make([]int64, len(i.feeders))
	storeNow, hasClock := i.storeNow()
	for index, feed := range i.feeders {
		change, completeAt := feed.Known()
		changes[index] = change
		if hasClock && !completeAt.IsZero() {
			complete[index] = storeNow.Add(-time.Since(completeAt)).UnixMilli()
		}
	}
	return changes, complete
}

// Compare applies what another instance knows, as Known returns it there. It reports
// whether a table has changes there that are missing here.
func (i *Informer) Compare(changes []uint64, complete []int64) bool {
	missing := false
	storeLatest, hasClock := i.storeLatest()
	for index, feed := range i.feeders {
		if index >= len(changes) {
			break
		}
		var completeAt time.Time
		if index < len(complete) && complete[index] > 0 && hasClock {
			age := max(0, storeLatest.Sub(time.UnixMilli(complete[index])))
			completeAt = time.Now().Add(-age)
		}
		missing = feed.Compare(changes[index], completeAt) || missing
	}
	return missing
}
