package launcher

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// FreeAddress returns a loopback address whose port is free at the time of the
// call. Ports are below the ephemeral range, so that no outgoing connection
// takes one in the meantime, and each process starts at an offset that depends
// on its process ID, so that parallel test processes rarely collide.
func FreeAddress() string {
	for {
		offset := (os.Getpid()*portStride + int(portOffset.Add(1))) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

const (
	firstPort  = 22000
	portCount  = 10000
	portStride = 397
)

var portOffset atomic.Int64
