package handover

import "time"

// Kind says what a message is.
type Kind uint8

// The messages. The owner is the process that grants claims, the guest is its successor.
const (
	Hello  Kind = 1 + iota // guest: the first message, N is the version
	Entry                  // both: how a key stands whose run is the sender's
	Drop                   // both: such a key is free again, its try never ran
	Claim                  // guest: may I run this key?
	Grant                  // owner: you may
	Synced                 // owner: all that I owe has been told
	Ready                  // guest: I have read it and am about to take clients
	Known                  // owner: I know, and hand over when I am told to leave
	Drain                  // both: the operator wants callers elsewhere (OK) or has them back
	Share                  // owner: N descriptors are the guest's
	kinds
)

// Version is that of the messages. Processes of different versions do not hand over: the new one never says yes.
const Version = 1

// Digest stands for the class and the body that all tries of one keyed request share.
type Digest [16]byte

// Message is what one process tells the other. Kind says which fields are set.
type Message struct {
	Kind   Kind
	Key    string
	Seq    uint64 // of a claim; with Drop from the guest, of the claim that is given back
	Digest Digest
	Until  time.Duration // Unix time: tries that came to the machine before it are tries of the same request
	Over   bool          // the run has ended
	OK     bool          // with a result; with Drain, that it is on
	Stored bool          // which is in Body
	Body   []byte
	Later  time.Duration // Drop: the advice that the refusal of the try carried
	GiveUp bool
	N      int64 // Hello: the version. Claim: when the try came to the machine, Unix nanoseconds. Share: descriptors
}

// Valid tells whether there is such a message.
func (k Kind) Valid() bool { return k > 0 && k < kinds }
