// Package engine speaks with the engine on the same machine: a line codec over bytes, and a link
// that is kept open and taken up again where it broke.
package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"cairnlane/policy"
)

// Bounds on what is read. Results may hold 4 KiB by the protocol.
const (
	maxLine   = 4 << 10
	maxResult = 64 << 10
)

// ErrMalformed is wrapped by the errors of the codec.
var ErrMalformed = errors.New("malformed engine line")

// runOutcomes translates how a run ended to the module's terms. A word that is not listed is garbage.
var runOutcomes = map[string]policy.Outcome{
	"fine":       policy.Succeeded, // with the result
	"fault":      policy.Failed,
	"broken_off": policy.Cancelled,
	"late":       policy.Moot, // nothing was started, the request was over
}

// notice is one line from the engine. Kind tells which fields are set.
type notice struct {
	kind     string
	number   int64
	id       string
	outcome  policy.Outcome
	duration time.Duration // of a run, or HELLO: since the start of the engine
	result   []byte        // borrowed from the input
	tag      string
	gauges   []float64
	command  string
}

// nextNotice cuts the first notice off buf; done is false while it is not all there.
func nextNotice(buf []byte) (n notice, rest []byte, done bool, err error) {
	at := bytes.IndexByte(buf, '\n')
	if at < 0 {
		if len(buf) > maxLine {
			return n, buf, false, fmt.Errorf("%w: no end after %d bytes", ErrMalformed, len(buf))
		}
		return n, buf, false, nil
	}
	line, rest := bytes.TrimSuffix(buf[:at], []byte("\r")), buf[at+1:]
	words := bytes.Fields(line)
	if len(words) == 0 {
		return n, buf, false, fmt.Errorf("%w: empty", ErrMalformed)
	}
	n.kind = string(words[0])
	length, err := n.parse(words[1:])
	if err != nil {
		return n, buf, false, fmt.Errorf("%w: %.80q: %w", ErrMalformed, line, err)
	}
	if length < 0 {
		return n, rest, true, nil
	}
	if len(rest) < length+2 {
		return n, buf, false, nil
	}
	n.result, rest = rest[:length], rest[length:]
	if rest[0] != '\r' || rest[1] != '\n' {
		return n, buf, false, fmt.Errorf("%w: result of %s runs on", ErrMalformed, n.id)
	}
	return n, rest[2:], true, nil
}

var errWordCount = errors.New("wrong number of words")

// parse reads the words behind the kind. It returns the length of what follows the line, or -1.
func (n *notice) parse(words [][]byte) (int, error) {
	var err error
	number := func(i int) int64 {
		v, e := strconv.ParseInt(string(words[i]), 10, 64)
		if err == nil && (e != nil || v < 0) {
			err = fmt.Errorf("word %d is no number", i+1)
		}
		return v
	}
	span := func(i int) time.Duration {
		v, e := strconv.ParseFloat(string(words[i]), 64)
		if err == nil && (e != nil || !(v >= 0 && v < 1e12)) {
			err = fmt.Errorf("word %d is no time", i+1)
		}
		return time.Duration(v * float64(time.Millisecond))
	}
	switch n.kind {
	case "HELLO":
		if len(words) != 2 {
			return -1, errWordCount
		}
		n.duration = span(1)
	case "DONE":
		if len(words) != 5 {
			return -1, errWordCount
		}
		n.number, n.id, n.duration = number(0), string(words[1]), span(3)
		end, known := runOutcomes[string(words[2])]
		if !known {
			return -1, fmt.Errorf("unknown end %q", words[2])
		}
		n.outcome = end
		length := number(4)
		if length > maxResult {
			return -1, fmt.Errorf("result of %d bytes", length)
		}
		return int(length), err
	case "NEED":
		if len(words) != 3 {
			return -1, errWordCount
		}
		n.number, n.id = number(0), string(words[1])
		length := number(2)
		if length > maxResult {
			return -1, fmt.Errorf("call of %d bytes", length)
		}
		return int(length), err
	case "STATS":
		if len(words) < 1 {
			return -1, errWordCount
		}
		n.tag = string(words[0])
		for _, w := range words[1:] {
			v, e := strconv.ParseFloat(string(w), 64)
			if e != nil {
				return -1, e
			}
			n.gauges = append(n.gauges, v)
		}
	case "NO":
		if len(words) < 1 {
			return -1, errWordCount
		}
		n.command = string(words[0])
		if len(words) > 1 {
			n.id = string(words[1])
		}
	case "NOTE":
		if len(words) < 1 {
			return -1, errWordCount
		}
		n.number = number(0)
	default:
		return -1, errors.New("unknown notice")
	}
	return -1, err
}

func appendAttach(dst []byte, last int64) []byte {
	return append(strconv.AppendInt(append(dst, "ATTACH "...), last, 10), "\r\n"...)
}

func appendStat(dst []byte, tag string) []byte {
	return append(append(append(dst, "STAT "...), tag...), "\r\n"...)
}

func appendRun(dst []byte, id, class string, body []byte) []byte {
	dst = append(append(append(append(append(dst, "RUN "...), id...), ' '), class...), ' ')
	dst = append(strconv.AppendInt(dst, int64(len(body)), 10), "\r\n"...)
	return append(append(dst, body...), "\r\n"...)
}

// appendFeed writes the reply to the call that a run waits for, unchanged.
func appendFeed(dst []byte, id string, reply []byte) []byte {
	dst = append(append(append(dst, "FEED "...), id...), ' ')
	dst = append(strconv.AppendInt(dst, int64(len(reply)), 10), "\r\n"...)
	return append(append(dst, reply...), "\r\n"...)
}

// appendSkip writes that a run goes on without the call that notice number asked for.
func appendSkip(dst []byte, id string, number int64) []byte {
	dst = append(append(append(dst, "SKIP "...), id...), ' ')
	return append(strconv.AppendInt(dst, number, 10), "\r\n"...)
}
