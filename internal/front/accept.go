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

// accepting is the listener as the poller sees it, which is never told that descriptors have run out: netpoll would accept
// from another goroutine from then on, beside the poller, and after a hand-over too. Who comes meanwhile is turned away,
// like all who come to a full table, by means of a descriptor that is held for this alone. Accept is the poller's.
type accepting struct {
	netpoll.Listener
	spare  int // -1 while there is none
	turned *counters.Counter
}

// noSpare is how long the poller rests when it can neither accept nor turn away: the listener would wake it at once.
const noSpare = time.Millisecond

func newAccepting(ln netpoll.Listener, turned *counters.Counter) *accepting {
	a := &accepting{Listener: ln, turned: turned}
	a.save()
	return a
}

// save sets a descriptor aside.
func (a *accepting) save() {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	a.spare = fd
}

// Accept implements net.Listener, in netpoll's way: no connection and no error if nobody waits.
func (a *accepting) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {
		return conn, err
	}
	if a.spare < 0 {
		time.Sleep(noSpare)
		a.save()
		return nil, nil
	}
	unix.Close(a.spare)
	if conn, err = a.Listener.Accept(); err == nil && conn != nil {
		a.turned.Inc() // before its peer can know
		if err := conn.Close(); err != nil {
			log.Print("turn a connection away: ", err)
		}
	}
	a.save()
	return nil, nil
}
