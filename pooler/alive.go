package pooler

import (
	"errors"
	"net"
	"syscall"
)

// alive reports whether an idle connection has neither ended nor brought
// anything unasked. Connections without a descriptor are taken to be alive.
func alive(conn net.Conn) bool {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	var quiet bool
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
