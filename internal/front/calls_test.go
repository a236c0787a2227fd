package front

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"cairnlane/internal/decide/conns"
	"cairnlane/internal/replica"
	"cairnlane/internal/thrift"
)

// routerCalls is how many calls a router waits for at most on one connection.
const routerCalls = 32

// calls returns the messages of n calls in one input, numbered from first.
func calls(first int32, n int, more ...[2]string) (input []byte) {
	for seq := first; seq < first+int32(n); seq++ {
		fields := requestFields(append(more, [2]string{"txn", fmt.Sprintf("%016x", seq)})...)
		input = append(input, callMessage("serve", seq, fields, "")...)
	}
	return input
}

// forgets returns the messages that give up n calls in one input, numbered from first.
func forgets(first int32, n int) (input []byte) {
	for seq := first; seq < first+int32(n); seq++ {
		input = append(input, forgetMessage(seq)...)
	}
	return input
}

// nextKind removes one answer from the output and returns its sequence number and kind.
func (r *testRouter) nextKind(t *testing.T) (int32, replica.Kind) {
	t.Helper()
	payload, rest, err := thrift.Frame(r.out)
	if err != nil || payload == nil {
		t.Fatalf("no further answer: %v", err)
	}
	r.out = rest
	in := thrift.NewReader(payload)
	h := in.Header()
	_, id := in.Field()
	return h.Seq, [...]replica.Kind{replica.Served, replica.Rejected, replica.Failed}[id]
}

// TestCallsAfterForgetsInOneInputAreAccepted guards against lost requests: a router's messages that it gives up calls
// counted as open calls, so its connection was closed over the next calls in the same input (review/1).
func TestCallsAfterForgetsInOneInputAreAccepted(t *testing.T) {
	const open = 20
	r := newTestRouter()
	if err := r.feed(calls(1, open)); err != nil {
		t.Fatal(err)
	}
	if err := r.feed(append(forgets(1, open), calls(open+1, routerCalls)...)); err != nil {
		t.Fatalf("the connection ends: %v", err)
	}
	if got := len(r.recorder.requests); got != open+routerCalls || len(r.recorder.gone) != open {
		t.Errorf("%d requests reach the core and %d are given up, want %d and %d", got, len(r.recorder.gone), open+routerCalls, open)
	}
}

// TestCallsThatWereGivenUpDoNotCountAsAwaited guards against lost requests: a call that was given up and still ran counted as
// open, so a router that waits for 32 calls at a time went over the limit in its third round.
func TestCallsThatWereGivenUpDoNotCountAsAwaited(t *testing.T) {
	r := newTestRouter()
	const rounds = 3
	for round := range int32(rounds) {
		first := 1 + round*routerCalls
		if err := r.feed(calls(first, routerCalls)); err != nil {
			t.Fatalf("the connection ends in round %d: %v", round+1, err)
		}
		if err := r.feed(forgets(first, routerCalls)); err != nil {
			t.Fatalf("the connection ends in round %d: %v", round+1, err)
		}
	}
	if got := len(r.recorder.requests); got != rounds*routerCalls || r.overLimit.Load() != 0 {
		t.Errorf("%d requests reach the core, want %d; %d are over the limit", got, rounds*routerCalls, r.overLimit.Load())
	}
}

// TestCallsWhoseWaitIsOverDoNotCountAsAwaited guards against lost requests at sites without forgets: what a router had sent during a
// standstill of the process was read at once, and its connection was closed over calls that it no longer waited for.
func TestCallsWhoseWaitIsOverDoNotCountAsAwaited(t *testing.T) {
	r := newTestRouter()
	sentAt := [][2]string{{"door", strconv.FormatInt(r.clock.Now().Milliseconds(), 10)}, {"limit", "400"}}
	if err := r.feed(calls(1, routerCalls, sentAt...)); err != nil {
		t.Fatal(err)
	}
	r.clock.Advance(time.Second)
	input := calls(routerCalls+1, routerCalls, sentAt...)
	sentAt[0][1] = strconv.FormatInt(r.clock.Now().Milliseconds(), 10)
	if err := r.feed(append(input, calls(2*routerCalls+1, routerCalls, sentAt...)...)); err != nil {
		t.Fatalf("the connection ends: %v", err)
	}
	if got := len(r.recorder.requests); got != 3*routerCalls || r.overLimit.Load() != 0 {
		t.Errorf("%d requests reach the core, want %d; %d are over the limit", got, 3*routerCalls, r.overLimit.Load())
	}
}

// TestCallsOverLimitAreRejected guards against lost requests and a flooded queue: input that would make a router wait for more
// calls than the limit reaches the core with none of them, each gets its own answer, and the connection stays in service.
func TestCallsOverLimitAreRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		more [][2]string
		want replica.Kind
	}{
		{"plain", nil, replica.Rejected},
		{"keyed, as an earlier attempt may have run", [][2]string{{"unique", "k"}}, replica.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRouter()
			const many = conns.MaxAwaited + 1
			if err := r.feed(calls(1, many, test.more...)); err != nil {
				t.Fatalf("the connection ends: %v", err)
			}
			if got := len(r.recorder.requests); got != 0 || r.overLimit.Load() != many {
				t.Errorf("%d requests reach the core, %d are over the limit; want 0 and %d", got, r.overLimit.Load(), many)
			}
			for want := int32(1); want <= many; want++ {
				if seq, kind := r.nextKind(t); seq != want || kind != test.want {
					t.Fatalf("answer %d has kind %d, want answer %d of kind %d", seq, kind, want, test.want)
				}
			}
			if err := r.feed(calls(many+1, routerCalls)); err != nil || len(r.recorder.requests) != routerCalls {
				t.Errorf("%d later requests reach the core, error %v", len(r.recorder.requests), err)
			}
		})
	}
}

// TestCallsGivenUpInTheirOwnInputDoNotReachTheCore guards against a client that sends hundreds of calls together with the messages
// that give them up: each would be decided on, and some would be run.
func TestCallsGivenUpInTheirOwnInputDoNotReachTheCore(t *testing.T) {
	r := newTestRouter()
	const many = 300
	if err := r.feed(append(append(calls(1, many), forgets(1, many)...), calls(many+1, 1)...)); err != nil {
		t.Fatal(err)
	}
	if got := r.recorder.requests; len(got) != 1 || got[0].Txn != fmt.Sprintf("%016x", many+1) {
		t.Errorf("%d requests reach the core, want only the one that is not given up", len(got))
	}
	for want := int32(1); want <= many; want++ {
		if seq, kind := r.nextKind(t); seq != want || kind != replica.Rejected {
			t.Fatalf("answer %d has kind %d, want answer %d of a rejection", seq, kind, want)
		}
	}
}

// TestUnansweredCallsAreBounded guards against unbounded memory: calls that were given up stay in the core until they end.
func TestUnansweredCallsAreBounded(t *testing.T) {
	r := newTestRouter()
	for seq := int32(1); seq <= 2*conns.MaxUnanswered; seq++ {
		if err := r.feed(append(calls(seq, 1), forgets(seq, 1)...)); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(r.recorder.requests); got != conns.MaxUnanswered || r.overLimit.Load() != conns.MaxUnanswered {
		t.Errorf("%d requests are unanswered and %d over the limit, want %d of each", got, r.overLimit.Load(), conns.MaxUnanswered)
	}
	r.recorder.requests[0].Reply.Answer(replica.Answer{Kind: replica.Failed})
	if err := r.feed(calls(2*conns.MaxUnanswered+1, 1)); err != nil || len(r.recorder.requests) != conns.MaxUnanswered+1 {
		t.Errorf("a request after an answer does not reach the core: %v", err)
	}
}

// TestRequestsBeforeMalformedInputAreAccepted guards against lost requests: when a complete request and malformed input were
// read at once, the request was dropped, but not when they were read one after the other.
func TestRequestsBeforeMalformedInputAreAccepted(t *testing.T) {
	r := newTestRouter()
	err := r.feed(append(calls(1, 2), "GET / HTTP/1.1\r\n"...))
	if err == nil || len(r.recorder.requests) != 2 {
		t.Errorf("%d requests reach the core, want 2; error %v", len(r.recorder.requests), err)
	}
}
