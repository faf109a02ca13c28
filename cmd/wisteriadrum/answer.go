package main

import (
	"fmt"
	"net/http"
	"strings"

	"wisteriadrum/framer"
)

// maxAnswerBytes limits the answer of an instance to a command.
const maxAnswerBytes = 16 << 20

// readAnswer reads the answer of an instance. Instances state the length of their answers or
// send them in chunks; net/http takes a reset that only the writer of the request has seen for
// the end of any other answer.
func readAnswer(response *http.Response) ([]byte, error) {
	for name := range response.Header {
		if strings.Contains(name, " ") { // net/http refuses all other bytes that no name may have
			return nil, fmt.Errorf("answer %s of %s has a field with the malformed name %q", response.Status, response.Request.URL.Host, name)
		}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, fmt.Errorf("answer %s of %s has no length", response.Status, response.Request.URL.Host)
	}
	return framer.ReadAll(response.Body, response.ContentLength, maxAnswerBytes, framer.Unaccounted)
}
