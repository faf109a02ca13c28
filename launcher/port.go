package launcher

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// FreeAddress returns a loopback address with a port that was free just now. Ports
// come from below the range that the system gives to outgoing connections,
// and each process begins at another place.
func FreeAddress() string {
	for {
		offset := (os.Getpid()*portStride + int(portsTaken.Add(1))) % portCount
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

var portsTaken atomic.Int64
