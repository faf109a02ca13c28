// Package appraiser estimates whether an engine or a store still holds a part of a
// prompt. It answers the load of engines whose running requests take the memory of the
// parts that they keep, which no message tells.
package appraiser

// maxMissShare is below 1, since a part that should not fit may still be there.
const maxMissShare = 0.9

// MissShare returns the share of the parts at a place in the order of last use that an
// engine or store has evicted: from 0 for the part used last to maxMissShare for one that
// no longer fits. depthTokens are the tokens used since the part was, itself included, freeTokens the
// memory that running requests leave.
func MissShare(depthTokens, tokens, freeTokens int) float64 {
	if depthTokens > freeTokens {
		return maxMissShare
	}
	if freeTokens <= tokens {
		return 0
	}
	return maxMissShare * float64(depthTokens-tokens) / float64(freeTokens-tokens)
}
