package streamer

import (
	"strconv"
	"strings"

	"wisteriadrum/judge"
	"wisteriadrum/namer"
	"wisteriadrum/refuser"
)

// position identifies an event of an attempt. Its text is the event ID that is
// sent to the caller, with which any instance can resume the answer.
type position struct {
	endpoint string
	attempt  string
	sequence int
}

const separator = "/"

func (p position) String() string {
	return p.endpoint + separator + p.attempt + separator + strconv.Itoa(p.sequence)
}

// parsePosition parses the event ID that a caller sends to resume an answer.
func parsePosition(text string) (position, error) {
	parts := strings.Split(text, separator)
	if len(parts) != 3 {
		return position{}, invalidPosition(text)
	}
	sequence, err := strconv.Atoi(parts[2])
	if err != nil || sequence < 1 || !namer.Valid(parts[0]) || !namer.Valid(parts[1]) {
		return position{}, invalidPosition(text)
	}
	return position{endpoint: parts[0], attempt: parts[1], sequence: sequence}, nil
}

func invalidPosition(text string) error {
	return refuser.New(refuser.BadRequest, judge.NotRun, "%q is no event id of an answer", text)
}
