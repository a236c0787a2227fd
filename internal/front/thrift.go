package front

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

const (
	// maxBody is what a request's body may hold.
	maxBody = 2 << 10
	// maxName bounds the names of what requests are about, which are kept for as long as their keys. Classes and tenants are
	// bounded by the settings that name them.
	maxName = 64
	// maxLimit bounds the arithmetic; how long callers may wait is told by the settings, which the replica has.
	maxLimit = float64(24 * time.Hour / time.Millisecond)
)

var errField = errors.New("malformed field")

// decodeServe reads the arguments of serve and translates them to a neutral request.
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
		return replica.Request{}, fmt.Errorf("%w: body of %d bytes", errField, len(body))
	}
	q, err := request(fields)
	q.Body = append([]byte(nil), body...)
	return q, err
}

// request translates the fields of a request.
func request(fields map[string]string) (replica.Request, error) {
	p := parser{fields: fields}
	q := replica.Request{
		Txn: fields["txn"], Class: fields["verb"], Tenant: fields["team"], IdempotencyKey: fields["unique"], Item: fields["item"],
		Retry:     fields["second"] == "1",
		ArrivedAt: time.UnixMilli(int64(p.number("door", 1, 1e14))),
		KB:        p.number("ram", math.SmallestNonzeroFloat64, below(2000)),
		Rank:      p.number("standing", 0, below(1)),
	}
	if _, told := fields["limit"]; told { // routers at some sites do not say how long they wait
		q.WaitLimit = time.Duration(p.number("limit", 0, maxLimit) * float64(time.Millisecond))
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

// below is the largest number under x.
func below(x float64) float64 { return math.Nextafter(x, 0) }

// parser reads numbers from fields and keeps the first error.
type parser struct {
	fields map[string]string
	err    error
}

func (p *parser) fail(name string) {
	if p.err == nil {
		p.err = fmt.Errorf("%w: %s is %.40q", errField, name, p.fields[name])
	}
}

func (p *parser) number(name string, least, most float64) float64 {
	v, err := strconv.ParseFloat(p.fields[name], 64)
	if err != nil || !(v >= least && v <= most) {
		p.fail(name)
		return 0
	}
	return v
}

// signalFields lists the free value as a field.
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
		dst = thrift.AppendHeader(dst, thrift.Header{Type: thrift.Reply, Name: "serve", Seq: seq})
		switch a.Kind {
		case replica.Served:
			dst = appendGood(dst, a.Body, fields, true)
		case replica.Rejected:
			if a.RetryAfter > 0 {
				ms := max(1, (a.RetryAfter+time.Millisecond/2)/time.Millisecond)
				fields = append(fields, [2]string{"later", strconv.FormatInt(int64(ms), 10)})
			}
			if a.GiveUp {
				fields = append(fields, [2]string{"giveup", "1"})
			}
			dst = appendThrown(dst, 1, fields)
		default:
			dst = appendThrown(dst, 2, fields)
		}
		return thrift.AppendStop(dst)
	})
}

// appendCheck appends the reply to a health check.
func appendCheck(dst []byte, seq int32, good bool, s replica.Signal) []byte {
	return thrift.AppendFrame(dst, func(dst []byte) []byte {
		dst = thrift.AppendHeader(dst, thrift.Header{Type: thrift.Reply, Name: "isWell", Seq: seq})
		return thrift.AppendStop(appendGood(dst, nil, signalFields(s), good))
	})
}

// appendGood appends the struct Answer as the result.
func appendGood(dst, body []byte, fields [][2]string, good bool) []byte {
	dst = thrift.AppendField(dst, thrift.Struct, 0)
	dst = thrift.AppendString(thrift.AppendField(dst, thrift.String, 1), body)
	dst = thrift.AppendStringMap(thrift.AppendField(dst, thrift.Map, 2), fields)
	dst = thrift.AppendBool(thrift.AppendField(dst, thrift.Bool, 3), good)
	return thrift.AppendStop(dst)
}

// appendThrown appends one of the declared exceptions as the result.
func appendThrown(dst []byte, id int16, fields [][2]string) []byte {
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

func appendFault(dst []byte, h thrift.Header, code thrift.ExceptionCode, text string) []byte {
	return thrift.AppendFrame(dst, func(dst []byte) []byte { return thrift.AppendException(dst, h, code, text) })
}
