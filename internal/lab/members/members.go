// Package members weighs two ways of knowing who is there: gossip by hashicorp/memberlist, over a transport of ours, and the
// sessions that the ledger holds anyway. It is a measurement and no part of the program.
package members

import (
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/lab/fleetsim"
)

// Figures are those of one way at one size.
type Figures struct {
	Way          string
	Names        int
	MessagesBox  float64 // a second
	BytesBox     float64
	FirstNotices time.Duration // after a death: the first box
	AllNotice    time.Duration // and the last
	FalseAlarms  int           // boxes that were taken for dead by some other, with a fifth of the boxes slow
}

func (f Figures) String() string {
	return fmt.Sprintf("way=%s names=%d messages_box=%.1f bytes_box=%.0f first_notices_ms=%d all_notice_ms=%d false_alarms=%d", f.Way, f.Names, f.MessagesBox, f.BytesBox, f.FirstNotices.Milliseconds(), f.AllNotice.Milliseconds(), f.FalseAlarms)
}

// slowBy is by how much what a slow box says comes late.
const slowBy = 700 * time.Millisecond

// network carries memberlist's packets and streams between the names of a measurement. What a box has no room for is lost, as on
// a network; nobody waits for a box that is dead.
type network struct {
	mu              sync.Mutex
	boxes           map[string]*box // by address
	messages, bytes atomic.Int64
}

// box implements memberlist.Transport.
type box struct {
	net        *network
	addr       string
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	slow, dead atomic.Bool
}

// packetsMost is how many packets wait for a box.
const packetsMost = 1024

func (n *network) box(i int) *box {
	b := &box{net: n, addr: fmt.Sprintf("127.0.0.1:%d", i+1), packets: make(chan *memberlist.Packet, packetsMost), streams: make(chan net.Conn, packetsMost)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boxes[b.addr] = b
	return b
}

func (n *network) find(addr string) *box {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := n.boxes[addr]; b != nil && !b.dead.Load() {
		return b
	}
	return nil
}

func (b *box) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", b.addr)
	return a.IP, a.Port, err
}

func (b *box) WriteTo(p []byte, addr string) (time.Time, error) {
	now := time.Now()
	if b.dead.Load() {
		return now, nil
	}
	b.net.messages.Add(1)
	b.net.bytes.Add(int64(len(p)))
	from, _ := net.ResolveUDPAddr("udp", b.addr)
	data := append([]byte(nil), p...)
	carry := func() {
		if o := b.net.find(addr); o != nil {
			select {
			case o.packets <- &memberlist.Packet{Buf: data, From: from, Timestamp: time.Now()}:
			default:
			}
		}
	}
	if b.slow.Load() {
		time.AfterFunc(slowBy, carry)
	} else {
		carry()
	}
	return now, nil
}

func (b *box) PacketCh() <-chan *memberlist.Packet { return b.packets }
func (b *box) StreamCh() <-chan net.Conn           { return b.streams }
func (b *box) Shutdown() error                     { return nil }

func (b *box) DialTimeout(addr string, _ time.Duration) (net.Conn, error) {
	o := b.net.find(addr)
	if o == nil || b.dead.Load() {
		return nil, io.ErrClosedPipe
	}
	mine, theirs := net.Pipe()
	select {
	case o.streams <- theirs:
		return mine, nil
	default:
		return nil, io.ErrClosedPipe
	}
}

// watch counts who was taken for dead, and when each box noticed a death.
type watch struct {
	mu      sync.Mutex
	gone    map[string]bool // taken for dead by somebody
	victim  string
	killed  time.Time
	notices []time.Duration
}

type seen struct{ *watch }

func (s seen) NotifyJoin(*memberlist.Node)   {}
func (s seen) NotifyUpdate(*memberlist.Node) {}
func (s seen) NotifyLeave(n *memberlist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Name == s.victim {
		s.notices = append(s.notices, time.Since(s.killed))
		return
	}
	s.gone[n.Name] = true
}

// Gossip measures memberlist with its settings for a local network.
func Gossip(names int, span time.Duration) (f Figures, err error) {
	f = Figures{Way: "memberlist", Names: names}
	wire := &network{boxes: map[string]*box{}}
	w := &watch{gone: map[string]bool{}}
	var boxes []*box
	var list []*memberlist.Memberlist
	defer func() {
		for i, m := range list {
			boxes[i].dead.Store(true)
			m.Shutdown()
		}
	}()
	for i := range names {
		cfg := memberlist.DefaultLANConfig()
		cfg.Name = fmt.Sprintf("n%d", i)
		boxes = append(boxes, wire.box(i))
		cfg.Transport = boxes[i]
		cfg.Events = seen{w}
		cfg.Logger = log.New(io.Discard, "", 0)
		m, err := memberlist.Create(cfg)
		if err != nil {
			return f, err
		}
		list = append(list, m)
		if i > 0 {
			if _, err := m.Join([]string{list[0].LocalNode().Address()}); err != nil {
				return f, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	wire.messages.Store(0)
	wire.bytes.Store(0)
	time.Sleep(span)
	f.MessagesBox, f.BytesBox = float64(wire.messages.Load())/span.Seconds()/float64(names), float64(wire.bytes.Load())/span.Seconds()/float64(names)
	w.mu.Lock()
	w.victim, w.killed, w.notices = fmt.Sprintf("n%d", names-1), time.Now(), nil
	w.mu.Unlock()
	boxes[names-1].dead.Store(true)
	list[names-1].Shutdown()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		n := len(w.notices)
		if n > 0 && f.FirstNotices == 0 {
			f.FirstNotices = w.notices[0]
		}
		if n >= names-1 {
			f.AllNotice = w.notices[n-1]
			w.mu.Unlock()
			break
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	clear(w.gone)
	w.mu.Unlock()
	for i := range names / 5 {
		boxes[i].slow.Store(true)
	}
	time.Sleep(2 * span)
	w.mu.Lock()
	f.FalseAlarms = len(w.gone)
	w.mu.Unlock()
	return f, nil
}

// Sessions measures those of the ledger, in virtual time, with the term at which leases run.
func Sessions(names int, term time.Duration) Figures {
	s := fleetsim.Members(names, term, slowBy)
	return Figures{Way: "sessions", Names: names, MessagesBox: s.MessagesBox, BytesBox: s.BytesBox, FirstNotices: s.FirstNotices, AllNotice: s.AllNotice, FalseAlarms: s.FalseAlarms}
}

// Terms are the leases' usual ones.
var Terms = lease.Terms{Term: 10 * time.Second, Drift: 0.01}
