package front

import (
	"errors"
	"log"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cairnlane/internal/counters"
)

// pollListener is the listener that the poller uses. It hides from netpoll that the process is out of descriptors:
// netpoll would otherwise accept from a second goroutine beside the poller, also after a hand-over. Connections that
// arrive meanwhile are accepted with a reserved descriptor and closed at once. Only the poller calls Accept.
type pollListener struct {
	netpoll.Listener
	spare    int // the reserved descriptor, or -1
	rejected *counters.Counter
}

// spareRetryDelay is how long Accept sleeps when it can neither accept nor reject a connection. Without it the poller would
// spin, as the listener stays readable.
const spareRetryDelay = time.Millisecond

func newPollListener(ln netpoll.Listener, rejected *counters.Counter) *pollListener {
	a := &pollListener{Listener: ln, rejected: rejected}
	a.openSpare()
	return a
}

// openSpare reserves a descriptor.
func (a *pollListener) openSpare() {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	a.spare = fd
}

// Accept implements net.Listener with netpoll's convention: it returns neither a connection nor an error if none waits.
func (a *pollListener) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {
		return conn, err
	}
	if a.spare < 0 {
		time.Sleep(spareRetryDelay)
		a.openSpare()
		return nil, nil
	}
	unix.Close(a.spare)
	if conn, err = a.Listener.Accept(); err == nil && conn != nil {
		a.rejected.Inc() // before the peer can observe the close
		if err := conn.Close(); err != nil {
			log.Print("close a connection rejected for lack of descriptors: ", err)
		}
	}
	a.openSpare()
	return nil, nil
}
