package renewal

import (
	"strings"
	"time"
)

// Trouble describes a failed step of an order: the authority's response, a connection error or a local error.
type Trouble struct {
	Kind       string // problem type without its prefix, RFC 8555 section 6.7; empty without a response
	Status     int    // HTTP status; 0 without a response
	RetryAfter time.Duration
	Rubbish    bool // the issued certificate must not be used
	Local      bool // the failure is local, for example a full disk or a port in use
	InARow     int  // consecutive failures before this one
}

// problemPrefix is the common prefix of ACME problem types.
const problemPrefix = "urn:ietf:params:acme:error:"

// ShortKind returns a problem type without its common prefix.
func ShortKind(kind string) string { return strings.TrimPrefix(kind, problemPrefix) }

// validationAttempts is the number of consecutive failed validations at which the failure no longer counts as
// transient: an operator then has to check DNS or the route to the challenge port.
const validationAttempts = 3

// Classify returns the class of a failed step. Unknown problems count as transient and are retried within the budget.
func Classify(failure Trouble) Answer {
	answer := Answer{Class: Transient, RetryAfter: max(failure.RetryAfter, 0)}
	switch {
	case failure.Rubbish:
		answer.Class = Hopeless
		return answer
	case failure.Local:
		return answer
	}
	switch failure.Kind {
	case "rateLimited":
		answer.Class = Limited
	case "caa", "rejectedIdentifier", "unsupportedIdentifier", "unauthorized", "badCSR", "badSignatureAlgorithm", "badPublicKey":
		answer.Class = Hopeless // another authority may accept the order
	case "externalAccountRequired", "userActionRequired", "invalidContact", "unsupportedContact":
		answer.Class = Hopeless
		if failure.InARow > 0 { // an earlier attempt, here or at another authority, failed as well
			answer.Class = Person
		}
	case "dns", "connection", "tls", "incorrectResponse", "validation":
		if failure.InARow+1 >= validationAttempts {
			answer.Class = Person
		}
	case "malformed", "accountDoesNotExist", "badNonce", "orderNotReady", "serverInternal", "alreadyReplaced", "conflict", "":
		if failure.Status == 429 {
			answer.Class = Limited
		}
	}
	return answer
}
