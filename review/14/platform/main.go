// Command platform plays the case of a failure that a worker breaks off while the request is
// still being written to it.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"wisteriadrum/review/stand-3/platform"
)

const (
	// uploadBytes is the size of a request, the limit of the manifest.
	uploadBytes = 4 << 20
	// readBytes is the receive buffer of the worker, which reads slowly.
	readBytes = 4096
	// requests is how many are sent, one after the other.
	requests = 40
	// pause is the time between the begin of an answer and its reset.
	pause = 3 * time.Millisecond
)

// answerBody is the whole body of the worker's answer, of which it sends the first half.
var answerBody = bytes.Repeat([]byte("{\"error\":\"slot 4711 is taken\"}\n"), 64)

func main() { os.Exit(run()) }

func run() int {
	rig, err := platform.NewRig(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NoResult
	}
	defer rig.Close()
	rig.KeepBodies = true
	if err := prepare(rig); err != nil {
		rig.Logf("the case could not run: %s", err)
		fmt.Println(err)
		return platform.NoResult
	}
	whole, short := 0, 0
	for range requests {
		id := platform.NewID()
		result := rig.Instances[0].Send(id, platform.Request{Method: "POST", Path: "/book/a", Host: "app.example", Key: "t0-key", Deadline: 2500 * time.Millisecond, Body: bytes.Repeat([]byte("b"), uploadBytes)})
		sealed := result.Header.Get("X-Server-Seal") != ""
		rig.Logf("client sent %s: %s, sealed: %t, length: %q", id, result, sealed, result.Header.Get("Content-Length"))
		switch {
		case result.Err != nil || !sealed:
		case len(result.Body) < len(answerBody):
			short++
		default:
			whole++
		}
		time.Sleep(20 * time.Millisecond)
	}
	verdict := fmt.Sprintf("of %d answers of %d bytes %d came whole with the worker's seal, and %d with it as complete answers of fewer bytes, allowed are 0", requests, len(answerBody), whole, short)
	rig.Logf("%s", verdict)
	fmt.Println(verdict)
	switch {
	case short > 0:
		return platform.Broken
	case !rig.Trouble && whole < requests:
		return platform.NoResult
	default:
		return platform.Held
	}
}

// prepare writes the manifest and starts an instance and its workers.
func prepare(rig *platform.Rig) error {
	if err := rig.Store.Put("op", "config", platform.Manifest(map[string]any{"name": "t0", "priority": 1})); err != nil {
		return err
	}
	if _, err := rig.StartInstance("za", 0); err != nil {
		return err
	}
	for range 3 {
		if _, err := rig.StartWorker("app", false, func(call *platform.Call) bool { return answer(rig, call) }); err != nil {
			return err
		}
	}
	return rig.AwaitReady()
}

// answer sends a failure without a length. With trouble it does so before the request is in,
// and resets the channel after half of the answer. Without it the request is read first, and
// the answer ends with the channel.
func answer(rig *platform.Rig, call *platform.Call) bool {
	head := "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: " + call.ID + "\r\nX-Server-Seal: " + platform.Seal + "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	if !rig.Trouble {
		if _, err := io.Copy(io.Discard, call.Body); err == nil {
			_, _ = io.WriteString(call.Conn, head+string(answerBody))
		}
		return false
	}
	conn := call.Conn.(*net.TCPConn)
	_ = conn.SetReadBuffer(readBytes)
	half := len(answerBody) / 2
	_, _ = io.WriteString(conn, head+string(answerBody[:half]))
	go func() { _, _ = io.Copy(io.Discard, call.Body) }()
	time.Sleep(pause)
	_ = conn.SetLinger(0)
	_ = conn.Close()
	rig.Logf("worker %s has reset the channel of %s after %d bytes of its answer", call.Worker.ID, call.ID, half)
	return false
}
