// Package engine is the client of the engine on the same machine: a codec for its line protocol, and a link that
// is kept open and re-established after a failure.
package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"cairnlane/policy"
)

// Limits on input. The protocol allows results of up to 4 KiB.
const (
	maxLine   = 4 << 10
	maxResult = 64 << 10
)

// ErrMalformed is wrapped by the errors of the codec.
var ErrMalformed = errors.New("malformed engine line")

// runOutcomes maps the engine's words for the end of a run to outcomes. Any other word is malformed.
var runOutcomes = map[string]policy.Outcome{
	"fine":       policy.Succeeded, // with the result
	"fault":      policy.Failed,
	"broken_off": policy.Cancelled,
	"late":       policy.NotStarted, // nothing was started because the request was over
}

// notice is one line from the engine. kind determines which fields are set.
type notice struct {
	kind     string
	number   int64
	id       string
	outcome  policy.Outcome
	duration time.Duration // of the run, or for HELLO the time since the engine started
	result   []byte        // refers to the input buffer
	tag      string
	gauges   []float64
	command  string
}

// nextNotice cuts the first notice off buf; done is false while the notice is incomplete.
func nextNotice(buf []byte) (n notice, rest []byte, done bool, err error) {
	lineEnd := bytes.IndexByte(buf, '\n')
	if lineEnd < 0 {
		if len(buf) > maxLine {
			return n, buf, false, fmt.Errorf("%w: no line end after %d bytes", ErrMalformed, len(buf))
		}
		return n, buf, false, nil
	}
	line, rest := bytes.TrimSuffix(buf[:lineEnd], []byte("\r")), buf[lineEnd+1:]
	words := bytes.Fields(line)
	if len(words) == 0 {
		return n, buf, false, fmt.Errorf("%w: empty line", ErrMalformed)
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
		return n, buf, false, fmt.Errorf("%w: body of %d bytes for %q is not followed by CR LF", ErrMalformed, length, n.id)
	}
	return n, rest[2:], true, nil
}

var errWordCount = errors.New("wrong number of words")

// parse reads the words after the kind. It returns the length of the body that follows the line, or -1 if there is
// none.
func (n *notice) parse(words [][]byte) (int, error) {
	var err error
	number := func(i int) int64 {
		v, e := strconv.ParseInt(string(words[i]), 10, 64)
		if err == nil && (e != nil || v < 0) {
			err = fmt.Errorf("word %d is not a number", i+1)
		}
		return v
	}
	milliseconds := func(i int) time.Duration {
		v, e := strconv.ParseFloat(string(words[i]), 64)
		if err == nil && (e != nil || !(v >= 0 && v < 1e12)) {
			err = fmt.Errorf("word %d is not a time", i+1)
		}
		return time.Duration(v * float64(time.Millisecond))
	}
	switch n.kind {
	case "HELLO":
		if len(words) != 2 {
			return -1, errWordCount
		}
		n.duration = milliseconds(1)
	case "DONE":
		if len(words) != 5 {
			return -1, errWordCount
		}
		n.number, n.id, n.duration = number(0), string(words[1]), milliseconds(3)
		end, known := runOutcomes[string(words[2])]
		if !known {
			return -1, fmt.Errorf("unknown outcome %q", words[2])
		}
		n.outcome = end
		length := number(4)
		if length > maxResult {
			return -1, fmt.Errorf("result of %d bytes exceeds %d", length, maxResult)
		}
		return int(length), err
	case "NEED":
		if len(words) != 3 {
			return -1, errWordCount
		}
		n.number, n.id = number(0), string(words[1])
		length := number(2)
		if length > maxResult {
			return -1, fmt.Errorf("call of %d bytes exceeds %d", length, maxResult)
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
		return -1, fmt.Errorf("unknown notice %.80q", n.kind)
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

// appendFeed appends a FEED with the reply to the call that a run waits for. The reply is not altered.
func appendFeed(dst []byte, id string, reply []byte) []byte {
	dst = append(append(append(dst, "FEED "...), id...), ' ')
	dst = append(strconv.AppendInt(dst, int64(len(reply)), 10), "\r\n"...)
	return append(append(dst, reply...), "\r\n"...)
}

// appendSkip appends a SKIP: the run continues without the call requested by notice number.
func appendSkip(dst []byte, id string, number int64) []byte {
	dst = append(append(append(dst, "SKIP "...), id...), ' ')
	return append(strconv.AppendInt(dst, number, 10), "\r\n"...)
}
