package peer

import "time"

// Kind bounds what of one kind waits for a peer. What is beyond a bound, or has waited longer than Stale, is dropped, the
// oldest first: whoever must have it arrive sends it again.
type Kind struct {
	Messages int           // that may wait
	Bytes    int           // that may wait
	Stale    time.Duration // after which a message is of no more use; 0 is never
}

type item struct {
	payload []byte
	at      time.Duration
}

// queue holds what waits for one peer, by kind. Lower kinds go first. It is not safe for use by several goroutines.
type queue struct {
	kinds   []Kind
	waiting [][]item
	bytes   []int
	dropped int
}

func newQueue(kinds []Kind) *queue {
	return &queue{kinds: kinds, waiting: make([][]item, len(kinds)), bytes: make([]int, len(kinds))}
}

func (q *queue) put(now time.Duration, kind byte, payload []byte) {
	k := q.kinds[kind]
	if len(payload) > k.Bytes {
		q.dropped++
		return
	}
	q.waiting[kind] = append(q.waiting[kind], item{payload, now})
	q.bytes[kind] += len(payload)
	for len(q.waiting[kind]) > k.Messages || q.bytes[kind] > k.Bytes {
		q.drop(kind)
	}
}

func (q *queue) drop(kind byte) {
	q.bytes[kind] -= len(q.waiting[kind][0].payload)
	q.waiting[kind][0].payload = nil
	q.waiting[kind] = q.waiting[kind][1:]
	q.dropped++
}

// next takes the message that goes next.
func (q *queue) next(now time.Duration) (kind byte, payload []byte, ok bool) {
	for i := range q.waiting {
		kind = byte(i)
		for len(q.waiting[i]) > 0 {
			m := q.waiting[i][0]
			if s := q.kinds[i].Stale; s > 0 && now-m.at > s {
				q.drop(kind)
				continue
			}
			q.bytes[i] -= len(m.payload)
			q.waiting[i][0].payload = nil
			if q.waiting[i] = q.waiting[i][1:]; len(q.waiting[i]) == 0 {
				q.waiting[i] = nil
			}
			return kind, m.payload, true
		}
	}
	return 0, nil, false
}
