package admitter

import "wisteriadrum/detector"

// Claim asks for a turn to send a request whose prompt has parts on probation, or ends it.
type Claim struct {
	// Scope selects the home of the claim.
	Scope uint64
	// Turn is the name of the turn, unique among all instances.
	Turn string
	// Probations are the parts on probation, with what the sender knows of them.
	Probations []detector.Probation
	// Millis is how long the turn lasts if it is not ended.
	Millis int64
	// Ended means that the request is not under way any more.
	Ended bool
	// Hops is the number of instances that have forwarded the claim.
	Hops int
}

// Decision is the answer to a claim.
type Decision struct {
	Granted bool
	// Suspects is what the home knows of the parts.
	Suspects []detector.Suspect
}

// validate returns an error if the claim is not one that an instance sends.
func (c Claim) validate() error {
	if c.Turn == "" || len(c.Turn) > maxNameBytes || len(c.Probations) > maxProbations || c.Millis < 0 || c.Millis > maxMillis {
		return errMalformed
	}
	for _, probation := range c.Probations {
		if probation.Limit < 1 {
			return errMalformed
		}
		if err := probation.Suspect.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// suspects returns the evidence of probations.
func suspects(probations []detector.Probation) []detector.Suspect {
	list := make([]detector.Suspect, len(probations))
	for i, probation := range probations {
		list[i] = probation.Suspect
	}
	return list
}
