package streamer

import (
	"strconv"
	"strings"

	"wisteriadrum/judge"
	"wisteriadrum/namer"
	"wisteriadrum/refuser"
)

// position names a place in an attempt, so that any instance can resume there.
type position struct {
	endpoint string
	attempt  string
	sequence int
}

const separator = "/"

func (p position) String() string {
	return p.endpoint + separator + p.attempt + separator + strconv.Itoa(p.sequence)
}

func parsePosition(text string) (position, error) {
	parts := strings.Split(text, separator)
	if len(parts) != 3 {
		return position{}, badPosition(text)
	}
	sequence, err := strconv.Atoi(parts[2])
	if err != nil || sequence < 1 || !namer.Valid(parts[0]) || !namer.Valid(parts[1]) {
		return position{}, badPosition(text)
	}
	return position{endpoint: parts[0], attempt: parts[1], sequence: sequence}, nil
}

func badPosition(text string) error {
	return refuser.New(refuser.BadRequest, judge.NotRun, "%q is no event id of an answer", text)
}
