package fake

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
)

// Ports are taken below the range from which the system takes those of outgoing connections, so that a port that
// is closed for a while can be opened again.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort goes through the ports in turn, so that an address that FreeAddress returned is not given away again
// before its user listens. It begins at random, since tests of several packages run at the same time.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// Listen opens a loopback port: the given address, or a free port if it is empty.
func Listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
	return nil, syscall.EADDRINUSE
}

// FreeAddress returns a loopback address on which nothing listens now.
func FreeAddress() (string, error) {
	l, err := Listen("")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
