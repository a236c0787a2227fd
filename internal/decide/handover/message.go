package handover

import "time"

// Kind is the type of a message.
type Kind uint8

// The messages. The owner is the process that grants claims, the guest is its successor.
const (
	Hello    Kind = 1 + iota // guest: the first message; N is the protocol version
	Entry                    // both: the state of a key whose run belongs to the sender
	Drop                     // both: the key of an earlier Entry or Grant is free again; its attempt never ran
	Claim                    // guest: asks to run a key
	Grant                    // owner: grants a claim
	Synced                   // owner: all entries were sent
	Ready                    // guest: has read all entries and is about to accept clients
	ReadyAck                 // owner: has received Ready, and will hand over on SIGTERM
	Drain                    // both: the operator drains the replica (OK is true) or ends the drain
	Share                    // owner: the guest may use N descriptors
	kinds
)

// Version is the version of the protocol. Processes of different versions do not hand over: the new one never
// reports that it is ready.
const Version = 1

// Digest identifies the class and the body, which are the same in all attempts of one keyed request.
type Digest [16]byte

// Message is sent from one process to the other. Kind determines which fields are set.
type Message struct {
	Kind       Kind
	Key        string
	Seq        uint64 // number of a claim; in a Drop from the guest, of the claim that is returned
	Digest     Digest
	Until      time.Duration // Unix time: attempts that arrived on the machine before it belong to the same request; Synced: Doubt.Until
	Ended      bool          // the run has ended
	OK         bool          // the run has a result; in Drain: the drain is on; in Claim: Attempt.First
	Stored     bool          // the result is in Body
	Body       []byte
	RetryAfter time.Duration // Drop: the retry-after delay in the rejection of the attempt
	DoNotRetry bool          // Drop: that rejection asks the caller not to try elsewhere
	Number     int64         // Hello: the version. Claim: when the attempt arrived on the machine, in Unix nanoseconds. Share: descriptors. Synced: Doubt.FirstFrom, in Unix nanoseconds
}

// Valid reports whether k is a known message type.
func (k Kind) Valid() bool { return k > 0 && k < kinds }
