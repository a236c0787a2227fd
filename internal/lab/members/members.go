// Package members compares two ways to track which boxes of a fleet are alive: gossip with hashicorp/memberlist over an in-process
// transport, and the sessions that the ledger holds. Only trials use it.
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

// Figures are the measurements of one way at one fleet size.
type Figures struct {
	Method       string
	Boxes        int
	MessagesBox  float64       // sent messages a second and box
	BytesBox     float64       // sent bytes a second and box
	FirstNoticed time.Duration // from a box's death until the first other box notices it
	AllNoticed   time.Duration // and until the last one notices it
	FalseAlarms  int           // live boxes that some box considered dead while a fifth of the boxes was slow
}

func (f Figures) String() string {
	return fmt.Sprintf("way=%s names=%d messages_box=%.1f bytes_box=%.0f first_notices_ms=%d all_notice_ms=%d false_alarms=%d", f.Method, f.Boxes, f.MessagesBox, f.BytesBox, f.FirstNoticed.Milliseconds(), f.AllNoticed.Milliseconds(), f.FalseAlarms)
}

// slowDelay is the delay of all packets from a slow box.
const slowDelay = 700 * time.Millisecond

// network carries memberlist's packets and streams between the boxes of a measurement. A packet is dropped if the receiver's queue is
// full or the receiver is dead.
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

// maxQueued is how many packets, and how many streams, may be queued for a box.
const maxQueued = 1024

func (n *network) addBox(i int) *box {
	b := &box{net: n, addr: fmt.Sprintf("127.0.0.1:%d", i+1), packets: make(chan *memberlist.Packet, maxQueued), streams: make(chan net.Conn, maxQueued)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boxes[b.addr] = b
	return b
}

func (n *network) liveBox(addr string) *box {
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
	deliver := func() {
		if receiver := b.net.liveBox(addr); receiver != nil {
			select {
			case receiver.packets <- &memberlist.Packet{Buf: data, From: from, Timestamp: time.Now()}:
			default:
			}
		}
	}
	if b.slow.Load() {
		time.AfterFunc(slowDelay, deliver)
	} else {
		deliver()
	}
	return now, nil
}

func (b *box) PacketCh() <-chan *memberlist.Packet { return b.packets }
func (b *box) StreamCh() <-chan net.Conn           { return b.streams }
func (b *box) Shutdown() error                     { return nil }

func (b *box) DialTimeout(addr string, _ time.Duration) (net.Conn, error) {
	peer := b.net.liveBox(addr)
	if peer == nil || b.dead.Load() {
		return nil, io.ErrClosedPipe
	}
	local, remote := net.Pipe()
	select {
	case peer.streams <- remote:
		return local, nil
	default:
		return nil, io.ErrClosedPipe
	}
}

// deathRecorder records which boxes were considered dead, and when each box noticed the death of the victim.
type deathRecorder struct {
	mu        sync.Mutex
	suspected map[string]bool // boxes that some box considered dead
	victim    string
	killed    time.Time
	notices   []time.Duration
}

type eventDelegate struct{ *deathRecorder }

func (s eventDelegate) NotifyJoin(*memberlist.Node)   {}
func (s eventDelegate) NotifyUpdate(*memberlist.Node) {}
func (s eventDelegate) NotifyLeave(n *memberlist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Name == s.victim {
		s.notices = append(s.notices, time.Since(s.killed))
		return
	}
	s.suspected[n.Name] = true
}

// Gossip measures memberlist with its default settings for a local network.
func Gossip(boxCount int, span time.Duration) (f Figures, err error) {
	f = Figures{Method: "memberlist", Boxes: boxCount}
	transport := &network{boxes: map[string]*box{}}
	deaths := &deathRecorder{suspected: map[string]bool{}}
	var boxes []*box
	var members []*memberlist.Memberlist
	defer func() {
		for i, m := range members {
			boxes[i].dead.Store(true)
			m.Shutdown()
		}
	}()
	for i := range boxCount {
		cfg := memberlist.DefaultLANConfig()
		cfg.Name = fmt.Sprintf("n%d", i)
		boxes = append(boxes, transport.addBox(i))
		cfg.Transport = boxes[i]
		cfg.Events = eventDelegate{deaths}
		cfg.Logger = log.New(io.Discard, "", 0)
		m, err := memberlist.Create(cfg)
		if err != nil {
			return f, err
		}
		members = append(members, m)
		if i > 0 {
			if _, err := m.Join([]string{members[0].LocalNode().Address()}); err != nil {
				return f, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	transport.messages.Store(0)
	transport.bytes.Store(0)
	time.Sleep(span)
	f.MessagesBox, f.BytesBox = float64(transport.messages.Load())/span.Seconds()/float64(boxCount), float64(transport.bytes.Load())/span.Seconds()/float64(boxCount)
	deaths.mu.Lock()
	deaths.victim, deaths.killed, deaths.notices = fmt.Sprintf("n%d", boxCount-1), time.Now(), nil
	deaths.mu.Unlock()
	boxes[boxCount-1].dead.Store(true)
	members[boxCount-1].Shutdown()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		deaths.mu.Lock()
		n := len(deaths.notices)
		if n > 0 && f.FirstNoticed == 0 {
			f.FirstNoticed = deaths.notices[0]
		}
		if n >= boxCount-1 {
			f.AllNoticed = deaths.notices[n-1]
			deaths.mu.Unlock()
			break
		}
		deaths.mu.Unlock()
	}
	deaths.mu.Lock()
	clear(deaths.suspected)
	deaths.mu.Unlock()
	for i := range boxCount / 5 {
		boxes[i].slow.Store(true)
	}
	time.Sleep(2 * span)
	deaths.mu.Lock()
	f.FalseAlarms = len(deaths.suspected)
	deaths.mu.Unlock()
	return f, nil
}

// Sessions measures the ledger's sessions in virtual time, with the given term of leases.
func Sessions(boxCount int, term time.Duration) Figures {
	s := fleetsim.MeasureFailureDetection(boxCount, term, slowDelay)
	return Figures{Method: "sessions", Boxes: boxCount, MessagesBox: s.MessagesPerBox, BytesBox: s.BytesPerBox, FirstNoticed: s.FirstDetection, AllNoticed: s.FullDetection, FalseAlarms: s.FalseAlarms}
}

// Terms are the default terms of leases.
var Terms = lease.Terms{Term: 10 * time.Second, Drift: 0.01}
