package renewal

import (
	"strings"
	"time"
)

// Failure describes a failed step of an order: the authority's response, a connection error or a local error.
type Failure struct {
	Kind          string // problem type without its prefix, RFC 8555 section 6.7; empty without a response
	Status        int    // HTTP status; 0 without a response
	RetryAfter    time.Duration
	Unusable      bool // the issued certificate must not be used
	Local         bool // the failure is local, for example a full disk or a port in use
	PriorFailures int  // consecutive failures before this one
}

// problemPrefix is the common prefix of ACME problem types.
const problemPrefix = "urn:ietf:params:acme:error:"

// TrimProblemPrefix returns a problem type without its common prefix.
func TrimProblemPrefix(kind string) string { return strings.TrimPrefix(kind, problemPrefix) }

// validationAttempts is the number of consecutive failed validations at which the failure no longer counts as
// transient: an operator then has to check DNS or the route to the challenge port.
const validationAttempts = 3

// Classify returns the class of a failed step. Unknown problems count as transient and are retried within the budget.
func Classify(failure Failure) Outcome {
	outcome := Outcome{Class: Transient, RetryAfter: max(failure.RetryAfter, 0)}
	switch {
	case failure.Unusable:
		outcome.Class = RejectedByAuthority
		return outcome
	case failure.Local:
		return outcome
	}
	switch failure.Kind {
	case "rateLimited":
		outcome.Class = RateLimited
	case "caa", "rejectedIdentifier", "unsupportedIdentifier", "unauthorized", "badCSR", "badSignatureAlgorithm", "badPublicKey":
		outcome.Class = RejectedByAuthority // another authority may accept the order
	case "externalAccountRequired", "userActionRequired", "invalidContact", "unsupportedContact":
		outcome.Class = RejectedByAuthority
		if failure.PriorFailures > 0 { // an earlier attempt, here or at another authority, failed as well
			outcome.Class = NeedsOperator
		}
	case "dns", "connection", "tls", "incorrectResponse", "validation":
		if failure.PriorFailures+1 >= validationAttempts {
			outcome.Class = NeedsOperator
		}
	case "malformed", "accountDoesNotExist", "badNonce", "orderNotReady", "serverInternal", "alreadyReplaced", "conflict", "":
		if failure.Status == 429 {
			outcome.Class = RateLimited
		}
	}
	return outcome
}
