package front

import (
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/conns"
)

// serverCounts are the counters of a server. Their names, in newServerCounts, are what operators see.
type serverCounts struct {
	accepted       *counters.Counter // connections
	rejected       *counters.Counter // connections closed because the table is full or descriptors are out
	closed         *counters.Counter // connections
	ended          [conns.Reasons]*counters.Counter
	callsOverLimit *counters.Counter // calls answered by the limits on a connection's calls
	bytesIn        *counters.Counter
	bytesOut       *counters.Counter
}

// newServerCounts returns the counters of a server, taken from set.
func newServerCounts(set *counters.Set) serverCounts {
	c := serverCounts{
		accepted:       set.Get("connections_accepted"),
		rejected:       set.Get("connections_over_limit"),
		closed:         set.Get("connections_closed"),
		callsOverLimit: set.Get("calls_over_limit"),
		bytesIn:        set.Get("bytes_in"),
		bytesOut:       set.Get("bytes_out"),
	}
	for reason := range c.ended {
		c.ended[reason] = set.Get("connections_ended_" + conns.Reason(reason).String())
	}
	return c
}
