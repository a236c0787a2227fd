package front

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// inherit takes over the listening socket at descriptor fd, which other processes may hold as well. Nothing is accepted before
// Serve. Closing the returned listener closes this process's descriptor only, and leaves the backlog to the other processes.
func inherit(fd int) (*net.TCPListener, error) {
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, unix.EBADF):
		return nil, fmt.Errorf("descriptor %d is not open: start the process with the listening socket at that number", fd)
	case err != nil:
		return nil, fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	case listening == 0:
		return nil, fmt.Errorf("descriptor %d is a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited listener")
	defer f.Close() // net.FileListener has duplicated the descriptor
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	l, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d listens at %v, which is no TCP address", fd, ln.Addr())
	}
	return l, nil
}
