// Package operator is the platform's operators' door: an address of its own where each connection carries one line
// and gets one answer. It speaks of the replica through Replica, which answers from atomics and a short lock of its
// own, so that the answer is there whatever the load.
package operator

import (
	"bytes"
	"fmt"
	"strconv"

	"cairnlane/internal/replica"
)

// Replica is what the door speaks of. Its methods must not wait for the serving path.
type Replica interface {
	// Ready tells whether this process takes clients; an error says why not.
	Ready() error
	// Drain sends callers elsewhere or has them back; an error says why it cannot be done.
	Drain(on bool) error
	Figures() replica.Figures
}

// lineMost bounds a call; the longest that there is has 9 bytes.
const lineMost = 128

// session is one connection with no I/O of its own.
type session struct {
	line []byte
	over bool // the answer was given; whatever comes after it is thrown away
}

// feed takes what has come in, cut at any byte, and returns the answer once the line is whole.
func (s *session) feed(p []byte, r Replica) []byte {
	if s.over {
		return nil
	}
	s.line = append(s.line, p[:min(len(p), lineMost+2-len(s.line))]...)
	at := bytes.IndexByte(s.line, '\n')
	if at < 0 && len(s.line) <= lineMost {
		return nil
	}
	s.over = true
	if at < 0 {
		return fmt.Appendf(nil, "NAK a call of over %d bytes\n", lineMost)
	}
	return Answer(string(bytes.TrimSpace(s.line[:at])), r)
}

// Answer carries out a call, for the door and for whatever else operators have to call a replica by.
func Answer(call string, r Replica) []byte {
	var err error
	switch call {
	case "check":
		err = r.Ready()
	case "vars":
		return appendVars(nil, r.Figures())
	case "drain-on", "drain-off":
		err = r.Drain(call == "drain-on")
	default:
		err = fmt.Errorf("unknown call %.40q; there are check, vars, drain-on and drain-off", call)
	}
	if err != nil {
		return fmt.Appendf(nil, "NAK %v\n", err)
	}
	return []byte("ACK\n")
}

// appendVars appends the figures in the Prometheus text form, ended by a line of its own.
func appendVars(dst []byte, f replica.Figures) []byte {
	for _, c := range f.Classes {
		for _, o := range []struct {
			name string
			n    int64
		}{{"passed", c.Served}, {"dropped", c.Rejected}, {"bad_gateway", c.Failed}} {
			dst = append(append(dst, `edge_relay_handled{category="`...), label(c.Name)...)
			dst = append(append(append(dst, `",outcome="`...), o.name...), `"} `...)
			dst = append(strconv.AppendInt(dst, o.n, 10), '\n')
		}
	}
	dst = fmt.Appendf(dst, "edge_relay_upstream_tries %d\nedge_relay_in_progress %d\n", f.Runs, f.Open)
	return append(dst, "--\n"...)
}

// label escapes a label's value. Classes are named in the configuration.
func label(name string) []byte {
	var out []byte
	for _, b := range []byte(name) {
		switch b {
		case '\\', '"':
			out = append(out, '\\', b)
		case '\n':
			out = append(out, `\n`...)
		default:
			out = append(out, b)
		}
	}
	return out
}
