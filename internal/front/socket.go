package front

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// transport is the byte stream below a connection: a socket, or TLS.
type transport interface {
	// input returns the bytes of input that are in the kernel, and whether there is input that was read but not yet handed to the
	// session.
	input() (kernel, reader int)
	// unacked returns the bytes of output that the peer's kernel has not acknowledged.
	unacked() int
	halfClose() error
	Close() error
	RemoteAddr() net.Addr
}

// socket is a TCP connection that is read with a buffer only once it has input, so that a quiet connection holds none. It is read
// when the server has time for it and not before: input that was not asked for stays in the kernel, whose receive buffer is
// bounded, and the peer's writes wait.
type socket struct {
	*net.TCPConn
	sys syscall.RawConn
}

func newSocket(c *net.TCPConn) (*socket, error) {
	sys, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{TCPConn: c, sys: sys}, nil
}

// await waits until there is input or the peer has closed its side, and reports whether it has. It returns an error once the
// socket is closed.
func (w *socket) await() (peerClosed bool, err error) {
	var events int16
	err = w.sys.Read(func(fd uintptr) bool {
		events = poll(int(fd), unix.POLLIN|unix.POLLRDHUP)
		return events != 0
	})
	return events&^unix.POLLIN != 0, err
}

// peerClosed reports whether the peer has closed its side or reset the connection, whether all its input was read or not.
func (w *socket) peerClosed() (closed bool) {
	err := w.sys.Control(func(fd uintptr) { closed = poll(int(fd), unix.POLLRDHUP) != 0 })
	return closed || err != nil
}

// poll returns those of the events, and of POLLERR and POLLHUP, that have occurred at a descriptor.
func poll(fd int, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		switch {
		case err == unix.EINTR:
		case err != nil || n == 0:
			return 0
		default:
			return fds[0].Revents
		}
	}
}

// readAvailable reads what is in the kernel and does not wait: without input it returns 0 and no error.
func (w *socket) readAvailable(p []byte) (n int, err error) {
	failed := w.sys.Read(func(fd uintptr) bool {
		n, err = readOnce(int(fd), p)
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// readOnce makes one read call at a descriptor. It returns 0 and no error without input, and io.EOF at the end of the input.
func readOnce(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// queue returns the length of one of the kernel's queues, or 1 if it is unknown, so that a connection whose queue is unknown is
// not closed as quiet.
func (w *socket) queue(request uint) int {
	n := 1
	w.sys.Control(func(fd uintptr) {
		if length, err := unix.IoctlGetInt(int(fd), request); err == nil {
			n = length
		}
	})
	return n
}

// input implements transport. The session is marked as feeding before anything is taken out of the kernel.
func (w *socket) input() (kernel, reader int) { return w.queue(unix.SIOCINQ), 0 }

func (w *socket) unacked() int { return w.queue(unix.SIOCOUTQ) }

func (w *socket) halfClose() error { return w.CloseWrite() }

// deadlineWriter sets a deadline for each write.
type deadlineWriter struct {
	net.Conn
	timeout *atomic.Int64 // in nanoseconds
}

func (d deadlineWriter) Write(p []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(time.Duration(d.timeout.Load())))
	return d.Conn.Write(p)
}
