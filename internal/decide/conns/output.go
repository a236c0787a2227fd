package conns

// Output limits the bytes of output that are buffered for peers that do not read.
type Output struct {
	Each int // limit for one connection
	All  int // limit for all connections together; 0 means no limit
}

// Reading is the number of bytes that a connection may always buffer. While the common limit is reached, only
// connections with more buffered output count as not reading their answers.
const Reading = 8 << 10

// Takes reports whether a connection that buffers own bytes may buffer more while all connections together buffer
// all bytes.
func (o Output) Takes(own, all int) bool {
	return own <= o.Each && (o.All == 0 || all < o.All || own <= Reading)
}
