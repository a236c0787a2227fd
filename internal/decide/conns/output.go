package conns

// OutputLimits limits the bytes of output that are buffered for peers that do not read.
type OutputLimits struct {
	PerConnection int // limit for one connection
	Total         int // limit for all connections together; 0 means no limit
}

// AlwaysAllowed is the number of bytes that a connection may always buffer. While the common limit is reached, only
// connections with more buffered output count as not reading their answers.
const AlwaysAllowed = 8 << 10

// Allows reports whether a connection that buffers own bytes may buffer more while all connections together buffer
// all bytes.
func (o OutputLimits) Allows(own, all int) bool {
	return own <= o.PerConnection && (o.Total == 0 || all < o.Total || own <= AlwaysAllowed)
}
