package front

import (
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"sync"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// sharedListener is a listening socket that other processes hold as well. Shutting it down would stop it for all of
// them, and closing this process's descriptor would not remove it from the poller's epoll set, as the kernel removes a
// socket only with its last descriptor in any process. So the socket is in an epoll set of its own, which the poller
// watches. Once removed from that set, the socket no longer wakes the poller, and its backlog is left to the other process.
type sharedListener struct {
	netpoll.Listener // the socket, in non-blocking mode
	epoll            int
	once             sync.Once
}

// inherit takes over the listening socket at descriptor fd. Nothing is accepted before Serve.
func inherit(fd int) (*sharedListener, error) {
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
	if _, ok := ln.(*net.TCPListener); !ok {
		return nil, fmt.Errorf("descriptor %d listens at %v, which is no TCP address", fd, ln.Addr())
	}
	defer ln.Close() // netpoll has duplicated it as well
	l := &sharedListener{}
	if l.Listener, err = netpoll.ConvertListener(ln); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	// EPOLLEXCLUSIVE is not set: both processes must be woken for a connection, as one of them may be about to stop.
	err = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, l.Listener.Fd(), &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(l.Listener.Fd())})
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: watch it: %w", fd, err)
	}
	return l, nil
}

// Fd returns the descriptor that the poller watches.
func (l *sharedListener) Fd() int { return l.epoll }

// stop ends accepting. Connections that are accepted already stay open.
func (l *sharedListener) stop() {
	l.once.Do(func() {
		if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, l.Listener.Fd(), nil); err != nil {
			log.Print("stop accepting at the shared listener: ", err)
		}
	})
}
