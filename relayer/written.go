package relayer

import (
	"time"

	"wisteriadrum/completer"
	"wisteriadrum/framer"
)

// writeEndWait bounds the wait for the end of the write of a request whose successful answer
// has ended with its connection.
const writeEndWait = 100 * time.Millisecond

// endedWhole reports whether an answer that was read to its end is complete. If it ended
// with its connection, that depends on how the write of the request ended.
func (a *attempt) endedWhole(head *framer.Head) bool {
	if head.Length != framer.UntilClose {
		return true
	}
	wait := time.Duration(0) // a failure needs no more of the request
	if head.Status < 300 {
		wait = writeEndWait
	}
	return completer.New(a.endWrite(wait)).Completes(head.Status)
}

// endWrite waits for the end of the write of the request, interrupts it after a wait, and
// returns its error.
func (a *attempt) endWrite(wait time.Duration) error {
	if a.writeDone == nil {
		return a.writeErr
	}
	interrupt := time.AfterFunc(wait, func() { _ = a.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer interrupt.Stop()
	err := <-a.writeDone
	a.writeDone <- err
	return err
}
