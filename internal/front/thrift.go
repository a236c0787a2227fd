package front

import (
	"encoding/hex"
	"errors"
	"fmt"
	"iter"
	"math"
	"strconv"
	"time"

	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

const (
	// maxBody is the maximum size of a request's body.
	maxBody = 2 << 10
	// maxName bounds idempotency keys and item names, which are stored as long as the keys. Names of classes and tenants
	// are bounded by the settings that list them.
	maxName = 64
	// maxWaitLimit keeps the arithmetic in range, in milliseconds. The replica bounds the wait by its settings.
	maxWaitLimit = float64(24 * time.Hour / time.Millisecond)
)

// The methods of the service Front.
const (
	serveMethod  = "serve"
	forgetMethod = "forget"
	checkMethod  = "isWell"
)

var errMalformedField = errors.New("malformed field")

// decodeServe reads the arguments of serve and translates them to a replica.Request.
func decodeServe(r *thrift.Reader) (replica.Request, error) {
	var fields map[string]string
	var body []byte
	for {
		t, id := r.Field()
		if t == thrift.Stop {
			break
		}
		switch {
		case id == 1 && t == thrift.Map:
			fields = r.StringMap()
		case id == 2 && t == thrift.String:
			body = r.Binary()
		default:
			r.Skip(t)
		}
	}
	if err := r.Err(); err != nil {
		return replica.Request{}, err
	}
	if len(body) > maxBody {
		return replica.Request{}, fmt.Errorf("%w: body of %d bytes, at most %d are allowed", errMalformedField, len(body), maxBody)
	}
	q, err := newRequest(fields)
	q.Body = append([]byte(nil), body...)
	return q, err
}

// decodeForget reads the argument of forget: the sequence number of the call that the router has given up.
func decodeForget(r *thrift.Reader) (seq int32, ok bool) {
	for {
		t, id := r.Field()
		if t == thrift.Stop || r.Err() != nil {
			return seq, ok && r.Err() == nil
		}
		if id == 1 && t == thrift.I32 {
			seq, ok = r.I32(), true
		} else {
			r.Skip(t)
		}
	}
}

// countMessages returns the number of complete messages in the input, up to the first frame that cannot be read.
func countMessages(buf []byte) (n int) {
	for range messages(buf) {
		n++
	}
	return n
}

// listCalls lists the requests that the input opens and the calls that it gives up. Other calls are answered at once.
func listCalls(buf []byte) (in conns.Input) {
	for payload := range messages(buf) {
		r := thrift.NewReader(payload)
		switch h := r.Header(); {
		case h.Type == thrift.Call && h.Name == serveMethod:
			if q, err := decodeServe(r); err == nil {
				in.Opened = append(in.Opened, requestCall(h.Seq, &q))
			}
		case h.Type == thrift.Oneway && h.Name == forgetMethod:
			if seq, ok := decodeForget(r); ok {
				in.GivenUp = append(in.GivenUp, seq)
			}
		}
	}
	return in
}

// requestCall returns the call of a request.
func requestCall(seq int32, q *replica.Request) conns.Call {
	c := conns.Call{Seq: seq, ID: q.Txn}
	if !q.WaitLimitUnknown {
		c.Until = time.Duration(q.ArrivedAt.UnixNano()) + q.WaitLimit
	}
	return c
}

// messages yields the payloads of the complete messages in the input, up to the first frame that cannot be read.
func messages(buf []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for {
			payload, rest, err := thrift.Frame(buf)
			if err != nil || payload == nil || !yield(payload) {
				return
			}
			buf = rest
		}
	}
}

// newRequest translates the fields of a request.
func newRequest(fields map[string]string) (replica.Request, error) {
	p := fieldParser{fields: fields}
	q := replica.Request{
		Txn: fields["txn"], Class: fields["verb"], Tenant: fields["team"], IdempotencyKey: fields["unique"], Item: fields["item"],
		Retry:     fields["second"] == "1",
		ArrivedAt: time.UnixMilli(int64(p.number("door", 1, 1e14))),
		KB:        p.number("ram", math.SmallestNonzeroFloat64, below(2000)),
		Rank:      p.number("standing", 0, below(1)),
	}
	if _, given := fields["limit"]; given { // routers at some sites do not send it
		q.WaitLimit = time.Duration(p.number("limit", 0, maxWaitLimit) * float64(time.Millisecond))
	} else {
		q.WaitLimitUnknown = true
	}
	q.Caller = int(p.number("lb", 0, 1<<31))
	for _, name := range []string{"unique", "item"} {
		if len(fields[name]) > maxName {
			p.fail(name)
		}
	}
	if s, marked := fields["second"]; marked && s != "1" {
		p.fail("second")
	}
	if id, err := hex.DecodeString(q.Txn); err != nil || len(id) != 8 {
		p.fail("txn")
	}
	return q, p.err
}

// below returns the largest number under x.
func below(x float64) float64 { return math.Nextafter(x, 0) }

// fieldParser reads numbers from fields and keeps the first error.
type fieldParser struct {
	fields map[string]string
	err    error
}

func (p *fieldParser) fail(name string) {
	if p.err == nil {
		p.err = fmt.Errorf("%w: %s is %.40q", errMalformedField, name, p.fields[name])
	}
}

func (p *fieldParser) number(name string, low, high float64) float64 {
	v, err := strconv.ParseFloat(p.fields[name], 64)
	if err != nil || !(v >= low && v <= high) {
		p.fail(name)
		return 0
	}
	return v
}

// signalFields returns the published value as a field, or no field if it is not set.
func signalFields(s replica.Signal) [][2]string {
	if !s.Set {
		return nil
	}
	return [][2]string{{"feedback", strconv.FormatFloat(s.Value, 'f', -1, 64)}}
}

// appendAnswer appends the reply to a call of serve.
func appendAnswer(dst []byte, seq int32, a replica.Answer) []byte {
	fields := signalFields(a.Signal)
	return thrift.AppendFrame(dst, func(dst []byte) []byte {
		dst = thrift.AppendHeader(dst, thrift.Header{Type: thrift.Reply, Name: serveMethod, Seq: seq})
		switch a.Kind {
		case replica.Served:
			dst = appendResult(dst, a.Body, fields, true)
		case replica.Rejected:
			if a.RetryAfter > 0 {
				ms := max(1, (a.RetryAfter+time.Millisecond/2)/time.Millisecond)
				fields = append(fields, [2]string{"later", strconv.FormatInt(int64(ms), 10)})
			}
			if a.DoNotRetry {
				fields = append(fields, [2]string{"giveup", "1"})
			}
			dst = appendException(dst, 1, fields)
		default:
			dst = appendException(dst, 2, fields)
		}
		return thrift.AppendStop(dst)
	})
}

// appendCheck appends the reply to a health check.
func appendCheck(dst []byte, seq int32, healthy bool, s replica.Signal) []byte {
	return thrift.AppendFrame(dst, func(dst []byte) []byte {
		dst = thrift.AppendHeader(dst, thrift.Header{Type: thrift.Reply, Name: checkMethod, Seq: seq})
		return thrift.AppendStop(appendResult(dst, nil, signalFields(s), healthy))
	})
}

// appendResult appends the struct Answer as the result.
func appendResult(dst, body []byte, fields [][2]string, success bool) []byte {
	dst = thrift.AppendField(dst, thrift.Struct, 0)
	dst = thrift.AppendString(thrift.AppendField(dst, thrift.String, 1), body)
	dst = thrift.AppendStringMap(thrift.AppendField(dst, thrift.Map, 2), fields)
	dst = thrift.AppendBool(thrift.AppendField(dst, thrift.Bool, 3), success)
	return thrift.AppendStop(dst)
}

// appendException appends one of the declared exceptions as the result.
func appendException(dst []byte, id int16, fields [][2]string) []byte {
	dst = thrift.AppendField(dst, thrift.Struct, id)
	dst = thrift.AppendStringMap(thrift.AppendField(dst, thrift.Map, 1), fields)
	return thrift.AppendStop(dst)
}

// appendGoaway appends the message that asks for no new requests on this connection.
func appendGoaway(dst []byte) []byte {
	return thrift.AppendFrame(dst, func(dst []byte) []byte {
		return thrift.AppendStop(thrift.AppendHeader(dst, thrift.Header{Type: thrift.Oneway, Name: "goaway"}))
	})
}

func appendApplicationException(dst []byte, h thrift.Header, code thrift.ExceptionCode, text string) []byte {
	return thrift.AppendFrame(dst, func(dst []byte) []byte { return thrift.AppendException(dst, h, code, text) })
}
