// Package operator implements the admin listener, an address where operators send one line per connection and get one
// answer. It queries the replica through the interface Replica, which uses atomics and a lock of its own that is held
// briefly, so that calls are answered under any load.
package operator

import (
	"bytes"
	"fmt"
	"strconv"

	"cairnlane/internal/replica"
)

// Replica is the replica that operators query and drain. Its methods must not wait for the serving path.
type Replica interface {
	// Ready returns an error with the reason if this process does not serve clients.
	Ready() error
	// Drain begins or ends a drain. An error gives the reason why it cannot.
	Drain(on bool) error
	// Figures returns the counts of the vars call.
	Figures() replica.Figures
}

// maxLine bounds the length of a call. The longest known call has 9 bytes.
const maxLine = 128

// session is the state of one connection. It does no I/O.
type session struct {
	line     []byte
	answered bool // the answer was returned; further input is dropped
}

// feed adds input, which may be split at any byte, and returns the answer once the line is complete.
func (s *session) feed(p []byte, r Replica) []byte {
	if s.answered {
		return nil
	}
	s.line = append(s.line, p[:min(len(p), maxLine+2-len(s.line))]...)
	end := bytes.IndexByte(s.line, '\n')
	if end < 0 && len(s.line) <= maxLine {
		return nil
	}
	s.answered = true
	if end < 0 {
		return fmt.Appendf(nil, "NAK a call of over %d bytes\n", maxLine)
	}
	return Answer(string(bytes.TrimSpace(s.line[:end])), r)
}

// Answer carries out a call and returns its answer. The control socket uses it as well.
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

// appendVars appends the metrics in the Prometheus text format, followed by the line "--".
func appendVars(dst []byte, f replica.Figures) []byte {
	for _, c := range f.Classes {
		for _, outcome := range []struct {
			name string
			n    int64
		}{{"passed", c.Served}, {"dropped", c.Rejected}, {"bad_gateway", c.Failed}} {
			dst = append(append(dst, `edge_relay_handled{category="`...), label(c.Name)...)
			dst = append(append(append(dst, `",outcome="`...), outcome.name...), `"} `...)
			dst = append(strconv.AppendInt(dst, outcome.n, 10), '\n')
		}
	}
	dst = fmt.Appendf(dst, "edge_relay_upstream_tries %d\nedge_relay_in_progress %d\n", f.Runs, f.Open)
	return append(dst, "--\n"...)
}

// label escapes a label value: the names of classes come from the configuration and may need it.
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
