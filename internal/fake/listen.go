package fake

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
)

// Listeners use ports below the ephemeral range of the kernel (32768 and up by default on Linux). Otherwise an outgoing
// connection could take the port of a listener that a test closes and later opens again.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort is the offset of the next port to try. Ports are handed out in turn, so that an address that FreeAddress
// returned is not reused before its user listens on it. The first offset is random, because the tests of several
// packages run at the same time in processes of their own.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// Listen listens on the given TCP address, or on a free loopback port if the address is empty.
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

// FreeAddress returns a loopback address, as host:port, on which nothing listens at the time of the call.
func FreeAddress() (string, error) {
	l, err := Listen("")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
