package peer

import "time"

// KindLimits limits the messages of one kind that wait for a peer. The oldest messages beyond a limit, and those that have waited longer than
// MaxAge, are dropped. Senders that need delivery must repeat the message.
type KindLimits struct {
	Messages int           // limit of waiting messages
	Bytes    int           // limit of waiting bytes
	MaxAge   time.Duration // age after which a message is useless; 0: never
}

type queuedMessage struct {
	payload  []byte
	queuedAt time.Duration
}

// queue holds the messages that wait for one peer, by kind. Lower kinds are sent first. It is not safe for concurrent use.
type queue struct {
	kinds   []KindLimits
	waiting [][]queuedMessage
	bytes   []int
	dropped int
}

func newQueue(kinds []KindLimits) *queue {
	return &queue{kinds: kinds, waiting: make([][]queuedMessage, len(kinds)), bytes: make([]int, len(kinds))}
}

func (q *queue) put(now time.Duration, kind byte, payload []byte) {
	k := q.kinds[kind]
	if len(payload) > k.Bytes {
		q.dropped++
		return
	}
	q.waiting[kind] = append(q.waiting[kind], queuedMessage{payload, now})
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

// next removes and returns the message to be sent next.
func (q *queue) next(now time.Duration) (kind byte, payload []byte, ok bool) {
	for i := range q.waiting {
		kind = byte(i)
		for len(q.waiting[i]) > 0 {
			m := q.waiting[i][0]
			if s := q.kinds[i].MaxAge; s > 0 && now-m.queuedAt > s {
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
