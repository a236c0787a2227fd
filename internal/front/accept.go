package front

import (
	"errors"
	"log"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
)

// tcpListener is what is used of a net.TCPListener.
type tcpListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// spareListener is a listener that keeps a descriptor in reserve. When the process is out of descriptors, connections that
// arrive are accepted with the reserved one and closed at once, so that their peers learn of it. One goroutine calls Accept.
type spareListener struct {
	tcpListener
	spare    int // the reserved descriptor, or -1
	rejected *counters.Counter
}

// acceptRetryDelay is how long Accept waits when it lacks descriptors and no connection waits, or when it can neither accept nor
// reject one. The kernel reports the lack whether or not a connection waits, so Accept would spin otherwise.
const acceptRetryDelay = 2 * time.Millisecond

func newSpareListener(ln tcpListener, rejected *counters.Counter) *spareListener {
	a := &spareListener{tcpListener: ln, spare: -1, rejected: rejected}
	a.openSpare()
	return a
}

// openSpare reserves a descriptor.
func (a *spareListener) openSpare() {
	if a.spare >= 0 {
		return
	}
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	a.spare = fd
}

// closeSpare gives the reserved descriptor back.
func (a *spareListener) closeSpare() {
	if a.spare >= 0 {
		unix.Close(a.spare)
	}
	a.spare = -1
}

// lacksResources reports whether Accept failed because the process or the machine lacks descriptors or memory.
func lacksResources(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// Accept returns the next connection for which there is a descriptor.
func (a *spareListener) Accept() (net.Conn, error) {
	for {
		conn, err := a.tcpListener.Accept()
		if err == nil || !lacksResources(err) {
			return conn, err
		}
		if a.spare < 0 || !a.waiting() {
			time.Sleep(acceptRetryDelay)
			a.openSpare()
			continue
		}
		a.closeSpare()
		a.rejectOne()
		a.openSpare()
	}
}

// waiting reports whether a connection waits to be accepted.
func (a *spareListener) waiting() (waiting bool) {
	sys, err := a.SyscallConn()
	if err != nil {
		return false
	}
	err = sys.Control(func(fd uintptr) { waiting = poll(int(fd), unix.POLLIN)&unix.POLLIN != 0 })
	return err == nil && waiting
}

// rejectOne accepts a connection with the descriptor that closeSpare has given back, and closes it. If another process has
// accepted it, rejectOne does not wait for the next one.
func (a *spareListener) rejectOne() {
	a.SetDeadline(time.Now().Add(acceptRetryDelay))
	defer a.SetDeadline(time.Time{})
	conn, err := a.tcpListener.Accept()
	if err != nil {
		return
	}
	a.rejected.Inc() // before the peer can observe the close
	if err := conn.Close(); err != nil {
		log.Print("close a connection rejected for lack of descriptors: ", err)
	}
}
