package renewal

import (
	"strings"
	"time"
)

// Trouble is a failed step, as the authority or the connection to it told it.
type Trouble struct {
	Kind       string // the problem's type without its prefix, RFC 8555 section 6.7; empty if there was no answer
	Status     int    // of HTTP; 0 if there was no answer
	RetryAfter time.Duration
	Rubbish    bool // what was issued must not be used
	Local      bool // it failed here: a disk that is full, a port that is taken
	InARow     int  // failures before this one
}

// problemPrefix stands before the type of a problem.
const problemPrefix = "urn:ietf:params:acme:error:"

// ShortKind takes the prefix off the type of a problem.
func ShortKind(kind string) string { return strings.TrimPrefix(kind, problemPrefix) }

// validationsTried is how many failed validations in a row are taken for a passing fault. After that, somebody has
// to see to the name service or the way to our port.
const validationsTried = 3

// Classify sorts a failed step. What is not known is taken for transient: it is tried again within the budget.
func Classify(t Trouble) Answer {
	a := Answer{Class: Transient, RetryAfter: max(t.RetryAfter, 0)}
	switch {
	case t.Rubbish:
		a.Class = Hopeless
		return a
	case t.Local:
		return a
	}
	switch t.Kind {
	case "rateLimited":
		a.Class = Limited
	case "caa", "rejectedIdentifier", "unsupportedIdentifier", "unauthorized", "badCSR", "badSignatureAlgorithm", "badPublicKey":
		a.Class = Hopeless // another authority may see it otherwise
	case "externalAccountRequired", "userActionRequired", "invalidContact", "unsupportedContact":
		a.Class = Hopeless
		if t.InARow > 0 { // tried elsewhere too, or again here
			a.Class = Person
		}
	case "dns", "connection", "tls", "incorrectResponse", "validation":
		if t.InARow+1 >= validationsTried {
			a.Class = Person
		}
	case "malformed", "accountDoesNotExist", "badNonce", "orderNotReady", "serverInternal", "alreadyReplaced", "conflict", "":
		if t.Status == 429 {
			a.Class = Limited
		}
	}
	return a
}
