package listener

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// backlog limits the connections that wait to be accepted. Each may have filled its receive buffer already, which takes memory that no
	// other limit covers; the kernel's default is 4,096.
	backlog = 256
	// receiveBuffer is the size of the kernel's buffer for received bytes of one connection. The kernel doubles it for its own
	// administration. Without it, the kernel lets the buffer grow up to 32 MB for a sender that is faster than the process.
	receiveBuffer = 32 << 10
)

// listen listens on a TCP address. Connections have a receiveBuffer, unless longMessages is true.
func listen(address string, longMessages bool) (net.Listener, error) {
	config := net.ListenConfig{}
	if !longMessages {
		// Connections inherit the size, also those that are not accepted yet.
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		}
	}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := ln.(*net.TCPListener); ok {
		raw, err := tcp.SyscallConn()
		if err == nil {
			err = control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
		}
		if err != nil {
			_ = ln.Close()
			return nil, err
		}
	}
	return ln, nil
}

func control(c syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
