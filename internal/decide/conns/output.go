package conns

// Output bounds what waits to be written to peers that do not read, in bytes.
type Output struct {
	Each int // one connection
	All  int // all together; 0 for no bound
}

// Reading is what a connection may always hold that takes its answers as they come: while all is used up, only who holds
// more is one that does not read.
const Reading = 8 << 10

// Takes tells whether a connection that holds so much may hold more, while all hold so much.
func (o Output) Takes(own, all int) bool {
	return own <= o.Each && (o.All == 0 || all < o.All || own <= Reading)
}
