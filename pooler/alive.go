package pooler

import (
	"errors"
	"net"
	"syscall"
)

// alive reports whether an idle connection is still open and has no unsolicited
// data to read. Connections without a file descriptor are assumed to be alive.
func alive(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var wouldBlock bool
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(descriptor), buffer[:])
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}
