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

// sharedListener is a listening socket that other processes hold as well. It must never be shut down, which would end
// it for all of them; and closing our descriptor would not take it out of the poller's set, as the kernel does that
// with the last descriptor of all processes. So it stands in a set of our own, and the poller watches that set: taken
// out of there, the socket wakes the poller no more, and what waits in its backlog is the other process's.
type sharedListener struct {
	netpoll.Listener // the socket; accepts without waiting
	set              int
	once             sync.Once
}

// Inherit takes over the listening socket that stands at descriptor fd. Nothing is accepted before Serve.
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
	defer f.Close() // its copies go on
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		return nil, fmt.Errorf("descriptor %d listens at %v, which is no TCP address", fd, ln.Addr())
	}
	defer ln.Close() // as well
	l := &sharedListener{}
	if l.Listener, err = netpoll.ConvertListener(ln); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if l.set, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	// Not exclusively: both processes are woken for a connection, as the one that is woken may be about to stop.
	err = unix.EpollCtl(l.set, unix.EPOLL_CTL_ADD, l.Listener.Fd(), &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(l.Listener.Fd())})
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: watch it: %w", fd, err)
	}
	return l, nil
}

// Fd is what the poller watches.
func (l *sharedListener) Fd() int { return l.set }

// stop takes no more connections. Those that are accepted already are served on.
func (l *sharedListener) stop() {
	l.once.Do(func() {
		if err := unix.EpollCtl(l.set, unix.EPOLL_CTL_DEL, l.Listener.Fd(), nil); err != nil {
			log.Print("stop accepting at the shared listener: ", err)
		}
	})
}
